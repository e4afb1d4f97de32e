package io.pearscale.scheduler.placement;

import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.Resources;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Reserves capacity for several tasks of a gang at once, or for none: if one task cannot be placed,
 * the reservations for the others are released. Among the zones with capacity for all tasks, it
 * takes the one that ends the fewest tasks by preemption, then the one with the shortest time until
 * the last task has its image.
 */
final class GangPlacer {
  private static final Comparator<Plan> BEST_FIRST =
      Comparator.comparingInt(Plan::tasksLost).thenComparing(Plan::slowestFetch);

  /** The assignments of all tasks of a gang. */
  private record Plan(Job job, List<Assignment> assignments) {
    int tasksLost() {
      return assignments.stream().mapToInt(Assignment::tasksLost).sum();
    }

    /** Returns the longest image fetch among the tasks; the gang cannot start before it ends. */
    Duration slowestFetch() {
      return assignments.stream()
          .map(Assignment::machine)
          .map(
              machine ->
                  machine.images().contains(job.spec().image())
                      ? Duration.ZERO
                      : machine.type().fetchTime(job.spec().imageGb()))
          .max(Comparator.naturalOrder())
          .orElse(Duration.ZERO);
    }
  }

  /** Upper bound on the share of the fleet's capacity reserved for gangs that are not overdue. */
  private static final double MAX_RESERVED_SHARE = 0.05;

  private final Placer placer;
  private final Set<String> zones = new TreeSet<>();

  private final Collection<Machine> machines;

  /** The long-waiting gang that has reserved capacity in this pass. */
  private Optional<Job> longWaitingGang = Optional.empty();

  /** The share of the fleet's capacity reserved in this pass for gangs that are not overdue. */
  private double reservedShare;

  /**
   * Creates the gang placer of one pass.
   *
   * @param machines the machines that are schedulable now
   */
  GangPlacer(Placer placer, Collection<Machine> machines) {
    this.placer = placer;
    this.machines = machines;
    machines.forEach(machine -> zones.add(machine.zone()));
  }

  /**
   * Reserves capacity for the given number of tasks.
   *
   * @return an assignment for each task; empty if not all of them can be placed
   */
  List<Assignment> place(Job job, int tasks, boolean mayPreempt) {
    Optional<Plan> best = Optional.empty();
    for (Predicate<Machine> subset : machineSubsets(job)) {
      Optional<Plan> plan = tryPlace(job, tasks, mayPreempt, subset);
      if (plan.isPresent() && (best.isEmpty() || BEST_FIRST.compare(plan.get(), best.get()) < 0)) {
        best = plan;
      }
    }
    best.ifPresent(plan -> plan.assignments.forEach(assignment -> placer.reserve(job, assignment)));
    return best.map(Plan::assignments).orElse(List.of());
  }

  /** Returns the subsets of machines, one of which must take all tasks of the job. */
  private List<Predicate<Machine>> machineSubsets(Job job) {
    if (!job.spec().singleZone() || job.spec().zone().isPresent()) {
      return List.of(machine -> true);
    }
    List<Predicate<Machine>> subsets = new ArrayList<>();
    for (String zone : zones) {
      if (job.hasNoAttemptsOutside(zone)) {
        subsets.add(machine -> machine.zone().equals(zone));
      }
    }
    return subsets;
  }

  private Optional<Plan> tryPlace(
      Job job, int tasks, boolean mayPreempt, Predicate<Machine> subset) {
    List<Assignment> assignments = reserveUpTo(job, tasks, mayPreempt, subset);
    release(job, assignments);
    return assignments.size() == tasks ? Optional.of(new Plan(job, assignments)) : Optional.empty();
  }

  private List<Assignment> reserveUpTo(
      Job job, int tasks, boolean mayPreempt, Predicate<Machine> subset) {
    List<Assignment> assignments = new ArrayList<>();
    PlannedSpread spread = new PlannedSpread(job);
    while (assignments.size() < tasks) {
      Optional<Assignment> assignment =
          placer.place(job, mayPreempt, subset.and(machine -> spread.allows(machine.zone())));
      if (assignment.isEmpty()) {
        break;
      }
      spread.add(assignment.get().machine().zone());
      assignments.add(assignment.get());
    }
    return assignments;
  }

  private void release(Job job, List<Assignment> assignments) {
    for (int i = assignments.size() - 1; i >= 0; i--) {
      placer.release(job, assignments.get(i));
    }
    placer.resetScan(job);
  }

  /**
   * Reserves the available capacity for a gang that has waited for a long time, so that jobs later
   * in this pass do not use it. Capacity is reserved for only one such gang at a time: two might
   * each hold half of what both need. Nothing is reserved for a gang that would not fit even on
   * empty machines, since it needs other machines.
   */
  void reserveForLongWaiting(Job job, int tasks) {
    if (longWaitingGang.isEmpty() && fleetShare(job, tasks) <= 1) {
      longWaitingGang = Optional.of(job);
      reserveLargestSubset(job, tasks);
    }
  }

  /**
   * Reserves the available capacity for a gang with a start objective, as long as all such gangs
   * together need only a small share of the fleet. Their remaining capacity is then expected to
   * become available soon, so the reservation delays other jobs only briefly.
   */
  void reserveIfSmall(Job job, int tasks) {
    double share = fleetShare(job, tasks);
    if (reservedShare + share <= MAX_RESERVED_SHARE) {
      reservedShare += share;
      reserveLargestSubset(job, tasks);
    }
  }

  /**
   * Returns the share that the gang needs of the total capacity of the largest subset of machines,
   * as if they were empty.
   */
  private double fleetShare(Job job, int tasks) {
    long largestCapacity = 0;
    for (Predicate<Machine> subset : machineSubsets(job)) {
      long capacity =
          machines.stream()
              .filter(subset)
              .filter(machine -> PlacementConstraints.allowsMachine(job.spec(), machine))
              .mapToLong(machine -> Resources.of(machine.type()).countFitting(job.spec()))
              .sum();
      largestCapacity = Math.max(largestCapacity, capacity);
    }
    return largestCapacity == 0 ? Double.MAX_VALUE : tasks / (double) largestCapacity;
  }

  private void reserveLargestSubset(Job job, int tasks) {
    List<Assignment> largest = List.of();
    for (Predicate<Machine> subset : machineSubsets(job)) {
      List<Assignment> assignments = reserveUpTo(job, tasks, /* mayPreempt= */ false, subset);
      release(job, assignments);
      largest = assignments.size() > largest.size() ? assignments : largest;
    }
    largest.forEach(assignment -> placer.reserve(job, assignment));
  }

  /** Checks the spread constraint for the tasks of a plan together with those already placed. */
  private static final class PlannedSpread {
    private final Job job;
    private final List<String> planned = new ArrayList<>();

    PlannedSpread(Job job) {
      this.job = job;
    }

    boolean allows(String zone) {
      long plannedInZone = planned.stream().filter(zone::equals).count();
      return !job.spec().spreadAcrossZones()
          || job.attemptsInZone(zone) + plannedInZone < job.spec().maxTasksPerZone();
    }

    void add(String zone) {
      planned.add(zone);
    }
  }
}
