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
 * Finds capacity for several tasks of a gang at once, or for none: what was reserved for some of
 * them is released when one finds no place. Of the zones that have capacity for all, the one with
 * the fewest victims is taken, then the one in which the slowest image is there first.
 */
final class GangPlacer {
  private static final Comparator<Plan> BEST_FIRST =
      Comparator.comparingInt(Plan::tasksLost).thenComparing(Plan::slowestFetch);

  /** Where the tasks go. */
  private record Plan(Job job, List<Assignment> assignments) {
    int tasksLost() {
      return assignments.stream().mapToInt(Assignment::tasksLost).sum();
    }

    /** The gang starts when the last of its tasks has its image. */
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

  /** Gangs that have just come keep no more than this part of the fleet's places free. */
  private static final double MAX_RESERVED_SHARE = 0.05;

  private final Placer placer;
  private final Set<String> zones = new TreeSet<>();

  private final Collection<Machine> machines;

  /** A gang for which capacity was kept in this pass, since it has waited for long. */
  private Optional<Job> longWaitingGang = Optional.empty();

  /** What part of the fleet's places was kept in this pass for gangs that have just come. */
  private double reservedShare;

  /**
   * Places gangs in a pass.
   *
   * @param machines those that may take tasks now
   */
  GangPlacer(Placer placer, Collection<Machine> machines) {
    this.placer = placer;
    this.machines = machines;
    machines.forEach(machine -> zones.add(machine.zone()));
  }

  /**
   * Reserves capacity for so many tasks.
   *
   * @return an assignment for each of them; none if one of them finds no place
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

  /** The parts of the fleet of which one has to take all tasks. */
  private List<Predicate<Machine>> machineSubsets(Job job) {
    if (!job.spec().singleZone() || job.spec().zone().isPresent()) {
      return List.of(machine -> true);
    }
    List<Predicate<Machine>> subsets = new ArrayList<>();
    for (String zone : zones) {
      if (job.isOnlyInZone(zone)) {
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
   * Keeps what free capacity there is for a gang that has waited for long, so that jobs that come
   * after it in this pass don't take it away. Only one gang at a time: two would each hold half of
   * what both need. One that the machines could not take if they were empty gets nothing: it waits
   * for other machines.
   */
  void reserveForLongWaiting(Job job, int tasks) {
    if (longWaitingGang.isEmpty() && fleetShare(job, tasks) <= 1) {
      longWaitingGang = Optional.of(job);
      reserveLargestSubset(job, tasks);
    }
  }

  /**
   * The same for a gang that is expected to start soon, as long as all of them together would take
   * a small part of the fleet: its capacity comes free within a moment, and costs others no more.
   */
  void reserveIfSmall(Job job, int tasks) {
    double share = fleetShare(job, tasks);
    if (reservedShare + share <= MAX_RESERVED_SHARE) {
      reservedShare += share;
      reserveLargestSubset(job, tasks);
    }
  }

  /** What part of the places for such tasks the gang needs, in the largest part of the fleet. */
  private double fleetShare(Job job, int tasks) {
    long largestCapacity = 0;
    for (Predicate<Machine> subset : machineSubsets(job)) {
      long capacity =
          machines.stream()
              .filter(subset)
              .filter(machine -> PlacementConstraints.allowsKind(job.spec(), machine))
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

  /** How the tasks of a plan are spread over zones, beside those that are placed. */
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
