package io.pearscale.scheduler;

import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.Priority;
import io.pearscale.scheduler.Machine.Resources;
import io.pearscale.storage.Maintenance;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * One pass of the design's placement: machines in random order, one check per task class, the best
 * score among the first few that fit, and if none fits the fewest, lowest victims.
 */
final class Placer {
  /** Tasks that are alike for feasibility and score. */
  private record TaskClass(EquivalenceClass shape, String team, boolean service, String image) {
    static TaskClass of(JobSpec spec) {
      return new TaskClass(EquivalenceClass.of(spec), spec.team(), spec.isService(), spec.image());
    }
  }

  /** Where a task goes, and who has to leave for it. */
  record Choice(Machine machine, List<TaskAttempt> victims) {}

  /** The machines that were met for a class in this pass. */
  private final class Visit {
    final int start = open.start();
    int next;
    int nextHolder;
    final List<Machine> found = new ArrayList<>();
    final Map<String, Double> crowding;
    boolean noVictims;

    Visit(Job like) {
      crowding = zones.crowding(like);
    }
  }

  private final PlacementInput input;
  private final PassCapacity rooms;
  private final ZoneCapacity zones;
  private final ScoringPolicy score;
  private final PreemptionPlanner victims;
  private final ReplicaRelocation moves;
  private final RandomizedMachineScan open;
  private final Map<TaskClass, Visit> visits = new HashMap<>();
  private final Map<String, List<Machine>> holders = new HashMap<>();
  private Optional<RandomizedMachineScan> all = Optional.empty();

  /**
   * Prepares a pass.
   *
   * @param waiting the jobs that the pass is for: machines without room for the smallest task of
   *     any of them are met only in search of victims
   * @param use what each team may have on machines
   */
  Placer(PlacementInput input, Collection<Job> waiting, QuotaUsage use) {
    this.input = input;
    this.rooms = new PassCapacity(use);
    this.zones = new ZoneCapacity(input.machines());
    this.score = new ScoringPolicy(input, rooms);
    this.victims = new PreemptionPlanner(input, rooms, zones, this::all);
    this.moves = new ReplicaRelocation(input, rooms, this::all);
    this.open = new RandomizedMachineScan(withSomeRoom(input.machines(), waiting), input.random());
  }

  private static List<Machine> withSomeRoom(List<Machine> machines, Collection<Job> waiting) {
    double cpus = Double.MAX_VALUE;
    double memoryGb = Double.MAX_VALUE;
    for (Job job : waiting) {
      cpus = Math.min(cpus, job.spec.cpus());
      memoryGb = Math.min(memoryGb, job.spec.memoryGb());
    }
    List<Machine> roomy = new ArrayList<>();
    for (Machine machine : machines) {
      Resources room = machine.availableAbove(Priority.IDLE);
      if (room.cpus + Resources.TOLERANCE >= cpus
          && room.memoryGb + Resources.TOLERANCE >= memoryGb) {
        roomy.add(machine);
      }
    }
    return roomy;
  }

  /** The order for those who look for victims, on machines with room or without. */
  private RandomizedMachineScan all() {
    if (all.isEmpty()) {
      all = Optional.of(new RandomizedMachineScan(input.machines(), input.random()));
    }
    return all.get();
  }

  /** Finds a machine for one more task of the job and books the room. */
  Optional<Choice> place(Job job, boolean mayStopOthers) {
    return place(job, mayStopOthers, machine -> true);
  }

  /** The same, on machines of which {@code among} holds. */
  Optional<Choice> place(Job job, boolean mayStopOthers, Predicate<Machine> among) {
    if (rooms.use().tasksLeftWithinLimit(job.spec) < 1) {
      return Optional.empty();
    }
    Predicate<Machine> allowed = machine -> among.test(machine) && allowedNow(job, machine);
    Visit visit = visits.computeIfAbsent(TaskClass.of(job.spec), taskClass -> new Visit(job));
    Optional<Machine> free = bestWithRoom(job, visit, allowed);
    if (free.isPresent()) {
      Optional<Choice> cached =
          mayStopOthers ? victims.evictForImage(job, free.get(), allowed) : Optional.empty();
      return cached.or(() -> Optional.of(booked(job, free.get())));
    }
    return mayStopOthers && !visit.noVictims
        ? placeByEviction(job, visit, allowed)
        : Optional.empty();
  }

  private Choice booked(Job job, Machine machine) {
    Choice choice = new Choice(machine, List.of());
    rooms.book(job, choice);
    return choice;
  }

  private Optional<Choice> placeByEviction(Job job, Visit visit, Predicate<Machine> allowed) {
    if (victims.isInVain(job)) {
      return Optional.empty();
    }
    Optional<Choice> choice = victims.evict(job, allowed).or(() -> moves.makeWay(job));
    if (choice.isEmpty()) {
      // Like tasks are decided as a class: what found nobody to evict need not look again.
      visit.noVictims = !job.spec.spreadAcrossZones() && !job.spec.singleZone();
      if (!job.spec.singleZone()) {
        victims.noteInVain(job);
      }
    }
    return choice;
  }

  /**
   * The best of the first few machines that have room for the task. Where tasks are expected to
   * start soon, up to half of them are machines that have the image, if there are so many: in a
   * large fleet a random visit would hardly ever meet one.
   */
  private Optional<Machine> bestWithRoom(Job job, Visit visit, Predicate<Machine> allowed) {
    visit.found.removeIf(machine -> !rooms.of(machine).fits(job));
    if (input.startWithin().apply(job.spec).isPresent()) {
      meetHolders(job, visit, allowed);
    }
    long usable = visit.found.stream().filter(allowed).count();
    while (usable < input.tuning().sampleSize() && visit.next < open.size()) {
      Machine machine = open.get(visit.start, visit.next++);
      if (meet(job, visit, machine) && allowed.test(machine)) {
        usable++;
      }
    }
    Machine best = null;
    double bestScore = Double.MAX_VALUE;
    for (Machine machine : visit.found) {
      double its =
          allowed.test(machine) ? score.of(job, machine, visit.crowding) : Double.MAX_VALUE;
      if (its < bestScore) {
        bestScore = its;
        best = machine;
      }
    }
    return Optional.ofNullable(best);
  }

  private void meetHolders(Job job, Visit visit, Predicate<Machine> allowed) {
    String image = job.spec.image();
    List<Machine> imageHolders = holders.computeIfAbsent(image, this::holdersOf);
    long usable =
        visit.found.stream()
            .filter(m -> m.cachedImages.containsKey(image) && allowed.test(m))
            .count();
    while (usable < input.tuning().sampleSize() / 2 && visit.nextHolder < imageHolders.size()) {
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
      if (machine.cachedImages.containsKey(image)) {
        found.add(machine);
      }
    }
    return found;
  }

  /** Adds a machine that has room for the task to those that were met for its class. */
  private boolean meet(Job job, Visit visit, Machine machine) {
    boolean hasRoom =
        job.spec.allows(machine.type, machine.zone, machine.spot) && rooms.of(machine).fits(job);
    if (!hasRoom || visit.found.contains(machine)) {
      return false;
    }
    visit.found.add(machine);
    return true;
  }

  /** Books a task's room, after that of its victims has become free. */
  void book(Job job, Choice choice) {
    rooms.book(job, choice);
  }

  /** Takes back what was booked for a task. */
  void release(Job job, Choice choice) {
    rooms.release(job, choice);
  }

  /** The machines met for the job's class are met anew: some were dropped for what was released. */
  void forgetVisit(Job job) {
    visits.remove(TaskClass.of(job.spec));
  }

  /** The rules that depend on where the job's other tasks are, all doubt counted against it. */
  static boolean allowedNow(Job job, Machine machine) {
    boolean urgent = job.spec.priority().compareTo(Priority.NORMAL) > 0;
    if (urgent && machine.maintenance.stage() == Maintenance.Stage.PROBATION) {
      return false;
    }
    if (job.spec.spreadAcrossZones()
        && job.attemptsInZone(machine.zone) >= job.spec.maxTasksPerZone()) {
      return false;
    }
    return !job.spec.singleZone() || job.isOnlyInZone(machine.zone);
  }
}
