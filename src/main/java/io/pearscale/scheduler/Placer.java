package io.pearscale.scheduler;

import io.pearscale.protocol.Fields;
import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.Priority;
import io.pearscale.protocol.Settings.Team;
import io.pearscale.scheduler.Machine.Room;
import io.pearscale.storage.Maintenance;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * One pass of the design's placement: machines in random order, one check per task class, the best
 * score among the first few that fit, and if none fits the fewest, lowest victims.
 */
final class Placer {
  /** What decides where a task may go and whom it may evict. */
  record Shape(
      Priority priority,
      double cpus,
      double gpus,
      double memoryGb,
      Optional<List<String>> types,
      Optional<String> zone,
      boolean spot) {
    static Shape of(JobSpec s) {
      return new Shape(
          s.priority(), s.cpus(), s.gpus(), s.memoryGb(), s.types(), s.zone(), s.spot());
    }
  }

  /** Tasks that are alike for feasibility and score. */
  record TaskClass(Shape shape, String team, boolean service, String image) {
    static TaskClass of(JobSpec s) {
      return new TaskClass(Shape.of(s), s.team(), s.service(), s.image());
    }
  }

  /** Tasks that find victims in the same places; the zones are those that a spread leaves open. */
  private record Hunt(
      Shape shape, String team, boolean service, List<String> zones, Optional<String> image) {}

  /** Where a task goes, and who has to leave for it. */
  record Choice(Machine machine, List<Placement> victims) {}

  /**
   * Machines in an order that is shuffled once a pass; each visit begins at a random place of its
   * own. Machines that can be spared are met last, so that they run empty.
   */
  private final class Order {
    private final List<Machine> kept = new ArrayList<>();
    private final List<Machine> spare = new ArrayList<>();

    Order(Collection<Machine> machines) {
      for (Machine m : machines) {
        boolean stays = m.spareSince.equals(Instant.MAX) && !m.drainsLater;
        (stays ? kept : spare).add(m);
      }
      shuffle(kept);
      shuffle(spare);
    }

    private void shuffle(List<Machine> list) {
      for (int i = list.size() - 1; i > 0; i--) {
        Collections.swap(list, i, random.nextInt(i + 1));
      }
    }

    int size() {
      return kept.size() + spare.size();
    }

    int start() {
      return kept.isEmpty() ? 0 : random.nextInt(kept.size());
    }

    Machine get(int start, int i) {
      return i < kept.size() ? kept.get((start + i) % kept.size()) : spare.get(i - kept.size());
    }
  }

  /** The machines that were met for a class in this pass. */
  private final class Visit {
    final int start = open.start();
    int next;
    int nextHolder;
    final List<Machine> found = new ArrayList<>();
    final Map<String, Double> crowding;
    boolean noVictims;

    Visit(Job like) {
      crowding = crowding(like);
    }
  }

  /** What a team has in use. */
  static final class Use {
    double cpus;
    double gpus;
  }

  /** A replica that has run for less is not moved: its start would have been in vain. */
  static final Duration SETTLED = Duration.ofSeconds(40);

  /** So many times as many machines are met while the best victims would end a gang that runs. */
  private static final int SEARCH_TO_SPARE_GANGS = 4;

  private final Tuning tuning;
  private final RandomGenerator random;
  private final Map<String, Team> teams;
  private final Map<Machine, Room> rooms = new HashMap<>();
  private final Map<TaskClass, Visit> visits = new HashMap<>();
  private final Map<String, List<Machine>> holders = new HashMap<>();
  private final Map<Shape, Map<String, Integer>> zoneRoom = new HashMap<>();
  private final Set<Hunt> barren = new HashSet<>();

  /** Victims of this pass. */
  private final Set<Placement> chosen = new HashSet<>();

  private final Map<String, Use> uses;
  private final Function<JobSpec, Optional<Duration>> startWithin;
  private final Comparator<Job> turns;
  private final Instant heardSince;
  private final List<Machine> machines;
  private final Order open;
  private Optional<Order> all = Optional.empty();
  private final Instant now;

  /**
   * Prepares a pass.
   *
   * @param machines those that may take tasks now
   * @param waiting the jobs that the pass is for: machines without room for the smallest task of
   *     any of them are met only in search of victims
   * @param uses what each team may have on machines, all doubt counted as use
   * @param startWithin in which time tasks like these are expected to start, if any
   * @param turns the order of jobs of one priority: the last is the first to make room
   * @param heardSince machines heard since then are sure to be reached
   */
  Placer(
      Tuning tuning,
      RandomGenerator random,
      Map<String, Team> teams,
      List<Machine> machines,
      Collection<Job> waiting,
      Map<String, Use> uses,
      Function<JobSpec, Optional<Duration>> startWithin,
      Comparator<Job> turns,
      Instant heardSince,
      Instant now) {
    this.now = now;
    this.tuning = tuning;
    this.random = random;
    this.teams = teams;
    this.machines = machines;
    this.uses = uses;
    this.startWithin = startWithin;
    this.turns = turns;
    this.heardSince = heardSince;
    double cpus = Double.MAX_VALUE;
    double memoryGb = Double.MAX_VALUE;
    for (Job j : waiting) {
      cpus = Math.min(cpus, j.spec.cpus());
      memoryGb = Math.min(memoryGb, j.spec.memoryGb());
    }
    List<Machine> roomy = new ArrayList<>();
    for (Machine m : machines) {
      Room r = m.roomAbove(Priority.IDLE);
      if (r.cpus + Room.SLACK >= cpus && r.memoryGb + Room.SLACK >= memoryGb) {
        roomy.add(m);
      }
    }
    this.open = new Order(roomy);
  }

  Room room(Machine m) {
    return rooms.computeIfAbsent(m, Machine::room);
  }

  private Use use(String team) {
    return uses.computeIfAbsent(team, t -> new Use());
  }

  /**
   * How many more tasks like these the team's limit allows. A limit of 0 means that there is none.
   */
  static int leftWithinLimit(Map<String, Team> teams, Map<String, Use> uses, JobSpec s) {
    Team t = teams.get(s.team());
    if (t == null) {
      return 0;
    }
    Use u = uses.getOrDefault(s.team(), new Use());
    double n = Math.min(left(t.cpusMax(), u.cpus, s.cpus()), left(t.gpusMax(), u.gpus, s.gpus()));
    return (int) Math.max(0, Math.min(n, s.tasks()));
  }

  /** Notes so many more tasks as in use. */
  static void charge(Map<String, Use> uses, JobSpec s, int n) {
    Use u = uses.computeIfAbsent(s.team(), k -> new Use());
    u.cpus += n * s.cpus();
    u.gpus += n * s.gpus();
  }

  private static double left(double limit, double used, double each) {
    double room = limit - used + 1e-6;
    if (limit <= 0 || (each <= 0 && room >= 0)) {
      return Double.MAX_VALUE;
    }
    return each <= 0 ? 0 : room / each;
  }

  private boolean beyondGuarantee(String team, double cpus, double gpus) {
    Team t = teams.get(team);
    if (t == null || (t.cpus() <= 0 && t.gpus() <= 0)) {
      return true;
    }
    Use u = use(team);
    return u.cpus + cpus > t.cpus() + 1e-6 || u.gpus + gpus > t.gpus() + 1e-6;
  }

  /** Finds a machine for one more task of the job and books the room. */
  Optional<Choice> place(Job job, boolean mayStopOthers) {
    return place(job, mayStopOthers, machine -> true);
  }

  /** The same, on machines of which {@code among} holds. */
  Optional<Choice> place(Job job, boolean mayStopOthers, Predicate<Machine> among) {
    if (leftWithinLimit(teams, uses, job.spec) < 1) {
      return Optional.empty();
    }
    Predicate<Machine> allowed = machine -> among.test(machine) && allowedNow(job, machine);
    Visit v = visits.computeIfAbsent(TaskClass.of(job.spec), k -> new Visit(job));
    Machine best = bestWithRoom(job, v, allowed);
    if (best != null) {
      Optional<Choice> cached =
          mayStopOthers ? evictForImage(job, best, allowed) : Optional.empty();
      if (cached.isPresent()) {
        return cached;
      }
      Choice choice = new Choice(best, List.of());
      book(job, choice);
      return Optional.of(choice);
    }
    if (v.noVictims || !mayStopOthers) {
      return Optional.empty();
    }
    Hunt hunt = hunt(job, Optional.empty());
    if (barren.contains(hunt)) {
      return Optional.empty();
    }
    Optional<Choice> byEviction = evict(job, Optional.empty(), allowed);
    if (byEviction.isEmpty()) {
      byEviction = makeWay(job);
    }
    if (byEviction.isEmpty()) {
      // Like tasks are decided as a class: what found nobody to evict need not look again.
      v.noVictims = !job.spec.spread() && !job.spec.oneZone();
      if (!job.spec.oneZone()) {
        barren.add(hunt);
      }
    }
    return byEviction;
  }

  /**
   * The best of the first few machines that have room for the task. Where tasks are expected to
   * start soon, up to half of them are machines that have the image, if there are so many: in a
   * large fleet a random visit would hardly ever meet one.
   */
  private Machine bestWithRoom(Job job, Visit visit, Predicate<Machine> allowed) {
    visit.found.removeIf(machine -> !room(machine).fits(job));
    if (startWithin.apply(job.spec).isPresent()) {
      meetHolders(job, visit, allowed);
    }
    long usable = visit.found.stream().filter(allowed).count();
    while (usable < tuning.sample() && visit.next < open.size()) {
      Machine machine = open.get(visit.start, visit.next++);
      if (meet(job, visit, machine) && allowed.test(machine)) {
        usable++;
      }
    }
    Machine best = null;
    double bestScore = Double.MAX_VALUE;
    for (Machine machine : visit.found) {
      double score = allowed.test(machine) ? score(job, machine, visit) : Double.MAX_VALUE;
      if (score < bestScore) {
        bestScore = score;
        best = machine;
      }
    }
    return best;
  }

  private void meetHolders(Job job, Visit visit, Predicate<Machine> allowed) {
    String image = job.spec.image();
    List<Machine> imageHolders = holders.computeIfAbsent(image, this::holdersOf);
    long usable =
        visit.found.stream().filter(m -> m.images.containsKey(image) && allowed.test(m)).count();
    while (usable < tuning.sample() / 2 && visit.nextHolder < imageHolders.size()) {
      Machine machine = imageHolders.get(visit.nextHolder++);
      if (meet(job, visit, machine) && allowed.test(machine)) {
        usable++;
      }
    }
  }

  /** The machines with some room that have the image, in the order of this pass. */
  private List<Machine> holdersOf(String image) {
    List<Machine> found = new ArrayList<>();
    for (int i = 0; i < open.size(); i++) {
      Machine machine = open.get(/* start= */ 0, i);
      if (machine.images.containsKey(image)) {
        found.add(machine);
      }
    }
    return found;
  }

  /** Adds a machine that has room for the task to those that were met for its class. */
  private boolean meet(Job job, Visit visit, Machine machine) {
    boolean hasRoom =
        job.spec.allows(machine.type, machine.zone, machine.spot) && room(machine).fits(job);
    if (!hasRoom || visit.found.contains(machine)) {
      return false;
    }
    visit.found.add(machine);
    return true;
  }

  /**
   * Whether a task is the first of a batch job that has waited for long: stopped before it counts
   * as a start, the job would go on waiting, and the youngest are the first to be stopped.
   */
  private boolean sheltered(Placement p) {
    return !p.job.spec.service()
        && !p.job.begun
        && p.job.done.isEmpty()
        && (p.job.spec.gang() || p.job.placed.size() == 1)
        && p.job.submitted.isBefore(now.minus(Job.LONG_WAIT))
        && p.ranFor(now).compareTo(Job.A_START) < 0;
  }

  /** Whether a kill would be carried out at once: a start that waits for it has no time to lose. */
  private boolean prompt(Machine m) {
    return m.heard.isAfter(heardSince) && !now.isBefore(m.directAfter);
  }

  private Hunt hunt(Job job, Optional<String> image) {
    JobSpec s = job.spec;
    return new Hunt(Shape.of(s), s.team(), s.service(), zonesLeft(job), image);
  }

  /**
   * A place without victims does not win if the image would have to be fetched there for longer
   * than the class is expected to start in, and another machine has it: a few low tasks are done
   * again, where else the start would be late for certain. A gang that runs is not ended for that.
   */
  private Optional<Choice> evictForImage(Job job, Machine free, Predicate<Machine> allowed) {
    JobSpec s = job.spec;
    Optional<Duration> within = startWithin.apply(s);
    if (within.isEmpty()
        || free.images.containsKey(s.image())
        || free.type.fetchTime(s.imageGb()).compareTo(within.get()) <= 0) {
      return Optional.empty();
    }
    Hunt hunt = hunt(job, Optional.of(s.image()));
    if (barren.contains(hunt)) {
      return Optional.empty();
    }
    Optional<Choice> choice = evict(job, Optional.of(s.image()), allowed);
    if (choice.isEmpty()) {
      barren.add(hunt);
    }
    return choice;
  }

  /** Books a task's room, after that of its victims has become free. */
  void book(Job job, Choice choice) {
    Room r = room(choice.machine);
    choice.victims.forEach(victim -> r.give(victim.job));
    chosen.addAll(choice.victims);
    r.take(job);
    Use u = use(job.spec.team());
    u.cpus += job.spec.cpus();
    u.gpus += job.spec.gpus();
  }

  /** Takes back what was booked for a task. */
  void release(Job job, Choice choice) {
    Room r = room(choice.machine);
    choice.victims.forEach(victim -> r.take(victim.job));
    chosen.removeAll(choice.victims);
    r.give(job);
    Use u = use(job.spec.team());
    u.cpus -= job.spec.cpus();
    u.gpus -= job.spec.gpus();
  }

  /** The machines met for the job's class are met anew: some were dropped for what was released. */
  void forgetVisit(Job job) {
    visits.remove(TaskClass.of(job.spec));
  }

  /** The order for those who look for victims, on machines with room or without. */
  private Order all() {
    if (all.isEmpty()) {
      all = Optional.of(new Order(machines));
    }
    return all.get();
  }

  /** The zones in which a job that must spread may have another task. */
  private List<String> zonesLeft(Job job) {
    if (!job.spec.spread()) {
      return List.of();
    }
    return roomByZone(job).keySet().stream()
        .filter(z -> job.inZone(z) < job.spec.perZone())
        .sorted()
        .toList();
  }

  /** The rules that depend on where the job's other tasks are, all doubt counted against it. */
  static boolean allowedNow(Job job, Machine m) {
    boolean urgent = job.spec.priority().compareTo(Priority.NORMAL) > 0;
    if (urgent && m.maintenance.stage() == Maintenance.Stage.PROBATION) {
      return false;
    }
    if (job.spec.spread() && job.inZone(m.zone) >= job.spec.perZone()) {
      return false;
    }
    if (job.spec.oneZone()) {
      return job.onlyIn(m.zone);
    }
    return true;
  }

  private double score(Job job, Machine m, Visit visit) {
    Room r = room(m);
    JobSpec s = job.spec;
    // Waiting tasks of a batch job are alike and would all go where the first one goes: what counts
    // is the room that is left after them.
    int coming = s.service() ? 1 : Math.max(1, Math.min(r.count(job), job.pending()));
    double stranded = (r.cpus - coming * s.cpus()) / Math.max(1e-9, m.type.cpus());
    stranded += (r.memoryGb - coming * s.memoryGb()) / Math.max(1e-9, m.type.memoryGb());
    if (m.type.gpus() > 0) {
      stranded += (r.gpus - coming * s.gpus()) / m.type.gpus();
    }
    int onMachine = 0;
    for (Placement p : m.placements.values()) {
      if (p.job == job) {
        onMachine++;
      }
    }
    // A service serves on when one machine is lost, so it spreads. A batch job is over with its
    // last task: the fewer machines it is on, the fewer jobs the loss of one makes late.
    double mates =
        s.service()
            ? tuning.sameMachineWeight() * onMachine
            : -tuning.togetherWeight() * (onMachine + coming);
    int inZone = job.inZone(m.zone);
    return tuning.strandedWeight() * stranded
        + mates / Math.max(1, s.tasks())
        + tuning.sameZoneWeight() * inZone / Math.max(1, s.tasks())
        + tuning.zoneBalanceWeight() * visit.crowding.getOrDefault(m.zone, 1.0)
        + tuning.imageWeight() * fetchShare(job, m) * fetchesInTheWay(s.image(), m)
        + (s.spot() && !m.spot ? tuning.ordinaryWeight() : 0)
        // A machine that just missed a direct command gets its starts by report only, which is
        // slow.
        + (now.isBefore(m.directAfter) ? tuning.imageWeight() : 0);
  }

  /**
   * How much less room for such tasks each zone has than the roomiest one, from 0 to 1. A job that
   * must spread can't do without the smaller zone; one that need not shouldn't fill it up.
   */
  private Map<String, Double> crowding(Job like) {
    Map<String, Integer> free = roomByZone(like);
    int most = 0;
    for (int n : free.values()) {
      most = Math.max(most, n);
    }
    Map<String, Double> crowding = new HashMap<>();
    for (Map.Entry<String, Integer> zone : free.entrySet()) {
      crowding.put(zone.getKey(), most == 0 ? 0 : 1 - zone.getValue() / (double) most);
    }
    return crowding;
  }

  /**
   * How much of a task's time a fetch of its image would take: little for a long run, most of it
   * for a start that is expected at once. So a cached image doesn't break up whole machines in
   * vain.
   */
  private double fetchShare(Job job, Machine m) {
    double fetch = Fields.seconds(m.type.fetchTime(job.spec.imageGb()));
    double run = job.spec.service() ? 1 : Fields.seconds(job.spec.estimate());
    if (job.spec.gang()) {
      run = startWithin.apply(job.spec).map(Fields::seconds).orElse(run);
    }
    return fetch / Math.max(1e-3, fetch + run);
  }

  /** How many fetches would share the rate with the image's own; -1 if that is cached. */
  private static int fetchesInTheWay(String image, Machine m) {
    return m.images.containsKey(image) ? -1 : m.otherFetches(image);
  }

  private Map<String, Integer> roomByZone(Job job) {
    return zoneRoom.computeIfAbsent(Shape.of(job.spec), k -> countRoomByZone(job));
  }

  private Map<String, Integer> countRoomByZone(Job job) {
    Map<String, Integer> free = new HashMap<>();
    for (Machine m : machines) {
      if (job.spec.allows(m.type, m.zone, m.spot)) {
        free.merge(m.zone, m.roomWithEviction(job), Integer::sum);
      }
    }
    return free;
  }

  /** Looks for victims, on machines that have the image if one is given. */
  private Optional<Choice> evict(Job job, Optional<String> image, Predicate<Machine> allowed) {
    boolean guaranteed = !beyondGuarantee(job.spec.team(), job.spec.cpus(), job.spec.gpus());
    Choice best = null;
    Order order = all();
    int start = order.start();
    int met = 0;
    // As with room, the best of the first that will do: at size, seeing all would cost more than a
    // better victim saves. Ending a gang costs all of its tasks, so then the search is longer.
    int most = tuning.sample();
    for (int i = 0; i < order.size() && met < most; i++) {
      Machine m = order.get(start, i);
      if (!job.spec.allows(m.type, m.zone, m.spot)
          || !allowed.test(m)
          || (image.isPresent() && !(m.images.containsKey(image.get()) && prompt(m)))
          || (!guaranteed && !m.roomAbove(job.spec.priority()).fits(job))) {
        continue;
      }
      List<Placement> candidates = new ArrayList<>();
      for (Placement p : m.placements.values()) {
        if (!p.stopping && !chosen.contains(p) && !sheltered(p) && mayEvict(job, p, guaranteed)) {
          candidates.add(p);
        }
      }
      // Lowest first; among equals the youngest, which has the least to lose.
      candidates.sort(
          Comparator.comparing((Placement p) -> p.job.spec.priority())
              .thenComparing(p -> p.since, Comparator.reverseOrder()));
      Room r = room(m);
      Room trial = new Room(r.cpus, r.gpus, r.memoryGb);
      List<Placement> victims = new ArrayList<>();
      for (Placement p : candidates) {
        if (trial.fits(job)) {
          break;
        }
        trial.give(p.job);
        victims.add(p);
      }
      boolean endsGang = losses(victims) > victims.size();
      if (!trial.fits(job) || victims.isEmpty() || (image.isPresent() && endsGang)) {
        continue;
      }
      met++;
      if (best == null || better(victims, m, best, job)) {
        best = new Choice(m, victims);
        most = endsGang ? SEARCH_TO_SPARE_GANGS * tuning.sample() : tuning.sample();
      }
    }
    if (best == null) {
      return Optional.empty();
    }
    book(job, best);
    return Optional.of(best);
  }

  /**
   * Moves one replica of equal priority out of the way, when it has a place to go that already has
   * its image: a job that must spread can't go anywhere else, while the replica that fills its zone
   * often can. The move costs a moment of one replica, waiting would cost the whole time.
   */
  private Optional<Choice> makeWay(Job job) {
    if (!job.spec.service()) {
      return Optional.empty();
    }
    Order order = all();
    int start = order.start();
    int asked = 0;
    for (int i = 0; i < order.size() && asked < tuning.sample(); i++) {
      Machine m = order.get(start, i);
      if (!job.spec.allows(m.type, m.zone, m.spot) || !allowedNow(job, m)) {
        continue;
      }
      for (Placement p : m.placements.values()) {
        if (!movable(job, p)) {
          continue;
        }
        asked++;
        if (hasOtherPlace(p)) {
          Choice choice = new Choice(m, List.of(p));
          book(job, choice);
          return Optional.of(choice);
        }
      }
    }
    return Optional.empty();
  }

  private boolean movable(Job job, Placement p) {
    JobSpec v = p.job.spec;
    Room r = room(p.machine);
    Room trial = new Room(r.cpus, r.gpus, r.memoryGb);
    trial.give(p.job);
    return !p.stopping
        && p.stage == Placement.Stage.RUNNING
        && v.service()
        && !v.oneZone()
        && v.priority() == job.spec.priority()
        && v.team().equals(job.spec.team())
        && p.since.isBefore(now.minus(SETTLED))
        && trial.fits(job);
  }

  private boolean hasOtherPlace(Placement p) {
    for (Machine m : machines) {
      if (mayMoveTo(p, m) && room(m).fits(p.job)) {
        room(m).take(p.job);
        return true;
      }
    }
    return false;
  }

  /** Whether a replica could run on another machine without waiting for its image. */
  static boolean mayMoveTo(Placement p, Machine m) {
    JobSpec v = p.job.spec;
    boolean zoneFree =
        m.zone.equals(p.machine.zone)
            || (!v.oneZone() && (!v.spread() || p.job.inZone(m.zone) < v.perZone()));
    return m != p.machine
        && zoneFree
        && v.allows(m.type, m.zone, m.spot)
        && m.images.containsKey(v.image());
  }

  /**
   * Fewest victims, then lowest. Among equals those of the job whose turn comes last: a job is over
   * with its last task, so one task stopped of each of many jobs makes all of them late, where many
   * tasks of one job make one late.
   */
  private boolean better(List<Placement> victims, Machine m, Choice best, Job job) {
    Priority a = highest(victims);
    Priority b = highest(best.victims());
    int losses = losses(victims);
    int bestLosses = losses(best.victims());
    if (losses != bestLosses) {
      return losses < bestLosses;
    }
    if (a != b) {
      return a.compareTo(b) < 0;
    }
    boolean cached = m.images.containsKey(job.spec.image());
    if (cached != best.machine().images.containsKey(job.spec.image())) {
      return cached;
    }
    return turns.compare(first(victims), first(best.victims())) > 0;
  }

  /** How many tasks end with the victims: a gang that runs loses all of its tasks with one. */
  static int losses(List<Placement> victims) {
    int losses = 0;
    for (Placement victim : victims) {
      boolean ofRunningGang =
          victim.job.spec.gang() && victim.stage.compareTo(Placement.Stage.RUNNING) >= 0;
      losses += ofRunningGang ? victim.job.placed.size() : 1;
    }
    return losses;
  }

  /** Of the jobs that would lose a task the one whose turn comes first. */
  private Job first(List<Placement> victims) {
    return victims.stream().map(p -> p.job).min(turns).orElseThrow();
  }

  private static Priority highest(List<Placement> victims) {
    Priority p = Priority.IDLE;
    for (Placement v : victims) {
      if (v.job.spec.priority().compareTo(p) > 0) {
        p = v.job.spec.priority();
      }
    }
    return p;
  }

  private boolean mayEvict(Job job, Placement victim, boolean guaranteed) {
    JobSpec v = victim.job.spec;
    if (v.priority().compareTo(job.spec.priority()) < 0) {
      return true;
    }
    if (job.spec.priority() == Priority.CRITICAL && v.priority() == Priority.CRITICAL) {
      return false; // top-band tasks do not evict one another
    }
    return guaranteed
        && !v.team().equals(job.spec.team())
        && beyondGuarantee(v.team(), 0, 0)
        && teams.containsKey(v.team());
  }
}
