package io.pearscale.scheduler;

import io.pearscale.protocol.MachineType;
import io.pearscale.protocol.Priority;
import io.pearscale.scheduler.Machine.Lifecycle;
import io.pearscale.scheduler.ScaleOutPlanner.Kind;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Decides what to rent, which machines to empty and which to give back, from what waits, runs and
 * is on its way. It only says what to do; the leader does it.
 */
final class Autoscaler {
  private static final Duration MOVE_SPACING = Duration.ofSeconds(3);

  /** Shares of room to keep are meant for a fleet of so many machines. */
  private static final int SMALL_FLEET = 40;

  /**
   * What the leader knows.
   *
   * @param usable which machines may take tasks now
   * @param waiting jobs with tasks that wait, in the order in which they are decided
   * @param use what each team has in use
   * @param silentZones zones of which nothing is heard: what is rented there is of no use by now
   * @param replacements room that drains lack
   * @param mayGiveBack whether it is known where all tasks are, and can be written what is decided
   */
  record View(
      Collection<Machine> machines,
      Predicate<Machine> usable,
      Collection<Job> jobs,
      List<Job> waiting,
      QuotaUsage use,
      Collection<MachineType> types,
      Set<String> silentZones,
      List<ScaleOutPlanner.Demand> replacements,
      boolean mayGiveBack) {}

  /** What is to be done: rented, given back, and moved off machines that are to be empty. */
  record Plan(Map<Kind, Integer> hires, List<Machine> giveBack, List<TaskAttempt> moves) {}

  private final Tuning tuning;
  private final JobClasses classes;
  private ScaleOutPlanner renter;
  private Instant nextMove = Instant.MIN;
  private int moves;

  Autoscaler(Tuning tuning, JobClasses classes) {
    this.tuning = tuning;
    this.classes = classes;
    this.renter = new ScaleOutPlanner(tuning);
  }

  /** Begins a term: what was asked for under another is not ours. */
  void begin() {
    renter = new ScaleOutPlanner(tuning);
  }

  /** Is to be told of what the cloud grants and refuses. */
  ScaleOutPlanner renter() {
    return renter;
  }

  /** What to do now. */
  Plan plan(View v, Instant now) {
    List<Machine> coming = new ArrayList<>();
    List<Machine> usable = new ArrayList<>();
    for (Machine machine : v.machines) {
      if (machine.lifecycle == Lifecycle.BOOTING
          && now.isBefore(machine.provisionedAt.plus(ScaleOutPlanner.patience(machine.type)))) {
        coming.add(machine);
      } else if (v.usable.test(machine)) {
        usable.add(machine);
      }
    }
    Headroom headroom = headroom(v, usable);
    List<ScaleOutPlanner.Demand> demands = demands(v, usable);
    demands.addAll(headroom.demands());
    demands.addAll(v.replacements);
    Map<Kind, Integer> hires =
        renter.plan(demands, coming, v.types, v.silentZones, v.machines.size(), now);
    // Until the cloud has answered, a kind is not asked for again.
    hires.forEach((kind, n) -> renter.noteAsked(kind, n, now));
    Plan plan = new Plan(hires, new ArrayList<>(), new ArrayList<>());
    if (v.mayGiveBack) {
      // Some tasks wait at any moment for the next pass; what counts is whether it finds room.
      spare(usable, v.waiting.stream().anyMatch(job -> job.unschedulable), headroom, plan, now);
    }
    return plan;
  }

  /** What waits for room. */
  private List<ScaleOutPlanner.Demand> demands(View v, List<Machine> usable) {
    // Like tasks are asked for as one.
    Map<Like, ScaleOutPlanner.Demand> demands = new LinkedHashMap<>();
    for (Job job : v.waiting) {
      // What the team's limit keeps waiting would wait on rented machines as well.
      int tasks = Math.min(job.pendingTasks(), v.use.tasksLeftWithinLimit(job.spec));
      if (tasks == 0 || (job.spec.isGang() && tasks < job.pendingTasks())) {
        continue;
      }
      v.use.charge(job.spec, tasks);
      if (job.spec.isGang() && job.spec.singleZone()) {
        demandInOneZone(demands, job, tasks, usable);
      } else if (job.spec.spreadAcrossZones()) {
        // Each zone may take its part only.
        int left = tasks;
        for (String zone : zones(v)) {
          int n = Math.min(left, job.spec.maxTasksPerZone() - job.attemptsInZone(zone));
          if (n > 0) {
            demand(demands, job, n, Optional.of(zone));
            left -= n;
          }
        }
      } else {
        demand(demands, job, tasks, Optional.empty());
      }
    }
    return new ArrayList<>(demands.values());
  }

  /** What a gang lacks in the zone that lacks least, so that all of its tasks get room there. */
  private static void demandInOneZone(
      Map<Like, ScaleOutPlanner.Demand> demands, Job job, int tasks, List<Machine> usable) {
    Map<String, Integer> places = new TreeMap<>();
    for (Machine machine : usable) {
      if (job.spec.allows(machine.type, machine.zone, machine.spot)
          && job.isOnlyInZone(machine.zone)) {
        places.merge(
            machine.zone, machine.availableAbove(Priority.IDLE).countFitting(job), Integer::sum);
      }
    }
    Optional<Map.Entry<String, Integer>> most =
        places.entrySet().stream().max(Map.Entry.comparingByValue());
    int lacking = tasks - most.map(Map.Entry::getValue).orElse(0);
    if (lacking > 0) {
      demand(demands, job, lacking, most.map(Map.Entry::getKey).or(job.spec::zone));
    }
  }

  private record Like(EquivalenceClass shape, Optional<String> zone) {}

  private static void demand(
      Map<Like, ScaleOutPlanner.Demand> demands, Job job, int tasks, Optional<String> zone) {
    demands.merge(
        new Like(EquivalenceClass.of(job.spec), zone),
        new ScaleOutPlanner.Demand(job, tasks, zone),
        (a, b) -> new ScaleOutPlanner.Demand(a.job(), a.tasks() + b.tasks(), zone));
  }

  /** All zones of the catalogue. */
  private static Set<String> zones(View v) {
    Set<String> zones = new LinkedHashSet<>();
    v.types.forEach(type -> zones.addAll(type.zones()));
    return zones;
  }

  /** Room to keep for classes that are expected to start at once. */
  private Headroom headroom(View v, List<Machine> usable) {
    Map<String, Integer> running = new HashMap<>();
    for (Job job : v.jobs) {
      if (classes.needsHeadroom(job.spec)) {
        running.merge(job.spec.jobClass(), job.attempts.size(), Integer::sum);
      }
    }
    Set<String> zones = zones(v);
    List<Headroom.Want> wants = new ArrayList<>();
    for (String c : classes.classesNeedingHeadroom()) {
      Optional<Job> sample = classes.latestJob(c);
      if (sample.isPresent()) {
        int want = 2 + (int) Math.ceil(tuning.headroomShare() * running.getOrDefault(c, 0));
        int each = (want + zones.size() - 1) / Math.max(1, zones.size());
        wants.add(new Headroom.Want(sample.get(), each));
      }
    }
    return new Headroom(wants, zones, usable);
  }

  /** How many tasks of a class with a time to keep have room on the machine now. */
  private int placesFor(String jobClass, Machine machine) {
    return classes
        .latestJob(jobClass)
        .filter(job -> job.spec.allows(machine.type, machine.zone, machine.spot))
        .map(job -> machine.available().countFitting(job))
        .orElse(0);
  }

  /**
   * Finds machines that can be spared, the dearest first: what they run would fit elsewhere, with
   * room to spare for what may come. Such machines are met last by new tasks, run empty, and are
   * given back.
   */
  private void spare(
      List<Machine> usable, boolean lacking, Headroom headroom, Plan plan, Instant now) {
    record Candidate(Machine machine, int replicas, double price, double used) {}
    List<Candidate> candidates = new ArrayList<>();
    double free = 0;
    double used = 0;
    for (Machine m : usable) {
      double mine = m.type.cpus() - m.availableAbove(Priority.IDLE).cpus;
      double price = m.type.hourlyPrice(m.spot) / Math.max(1e-9, m.type.cpus());
      candidates.add(new Candidate(m, m.replicaCount(), price, mine));
      used += mine;
      free += m.type.cpus() - mine;
    }
    // Without replicas first, since those have to be moved; then the dearest and the emptiest.
    candidates.sort(
        Comparator.comparingInt(Candidate::replicas)
            .thenComparing(Candidate::price, Comparator.reverseOrder())
            .thenComparingDouble(Candidate::used)
            .thenComparing(c -> c.machine.name));
    Map<String, Integer> places = new HashMap<>();
    Map<String, Integer> large = new HashMap<>();
    for (String c : classes.sized()) {
      large.put(c, classes.largeJobTasks(c));
      for (Machine m : usable) {
        places.merge(c, placesFor(c, m), Integer::sum);
      }
    }
    // Of many machines a smaller part need be kept: what comes and goes varies by the square root.
    double scale = Math.sqrt(Math.min(1, SMALL_FLEET / (double) Math.max(1, usable.size())));
    double reserve = tuning.reserveShare() * used * scale;
    int most = 1 + usable.size() / SMALL_FLEET;
    if (!now.isBefore(nextMove)) {
      nextMove = now.plus(MOVE_SPACING);
      moves = most;
    }
    ReplicaCapacity rest = new ReplicaCapacity(usable);
    int emptied = 0;
    int tried = 0;
    for (Candidate c : candidates) {
      Machine m = c.machine;
      double after = free - m.type.cpus();
      boolean room = !lacking && after >= reserve && headroom.canLose(m);
      for (String jobClass : classes.sized()) {
        int lost = room ? placesFor(jobClass, m) : 0;
        room &= lost == 0 || places.get(jobClass) - lost >= large.get(jobClass);
      }
      int replicas = c.replicas;
      if (room && replicas > 0) {
        room = emptied < most && tried++ < 3 * most && rest.takesReplicasOf(m, now);
        emptied += room ? 1 : 0;
      }
      if (!room) {
        m.scaleInCandidateSince = Instant.MAX;
        continue;
      }
      free = after;
      rest.remove(m);
      headroom.lose(m);
      classes.sized().forEach(k -> places.merge(k, -placesFor(k, m), Integer::sum));
      if (m.scaleInCandidateSince.equals(Instant.MAX)) {
        m.scaleInCandidateSince = now;
      }
      boolean due = now.isAfter(m.scaleInCandidateSince.plus(tuning.scaleInAfterIdle()));
      if (due && replicas > 0) {
        moveOne(m, plan);
      } else if (due && m.attempts.isEmpty() && now.isAfter(m.provisionedAt.plusSeconds(60))) {
        plan.giveBack.add(m);
      }
    }
  }

  /** Moves a replica off a machine that is to be given back, not too many at a time. */
  private void moveOne(Machine machine, Plan plan) {
    if (moves <= 0) {
      return;
    }
    for (TaskAttempt attempt : machine.attempts.values()) {
      if (attempt.job.spec.isService() && !attempt.stopping) {
        moves--;
        plan.moves.add(attempt);
        return;
      }
    }
  }
}
