package io.pearscale.scheduler.autoscaling;

import io.pearscale.protocol.Priority;
import io.pearscale.scheduler.model.JobClasses;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.Tuning;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Selects machines that are not needed: what they run would fit elsewhere, with capacity left for
 * what may come. For one plan: each machine that is selected counts as gone for those after it.
 */
final class IdleMachineSelector {
  /** The fleet size for which the reserve share is meant. */
  private static final int REFERENCE_FLEET_SIZE = 40;

  /** Machines with replicas are tried so many times as often as they may be selected. */
  private static final int TRIES_PER_EMPTIED = 3;

  /** Keeps the price of a machine without processors finite. */
  private static final double MIN_CPUS = 1e-9;

  /**
   * A machine that might not be needed.
   *
   * @param replicas tasks of services that would have to be relocated
   * @param price per processor and hour
   * @param usedCpus processors of the tasks that are to stay on it
   */
  record Candidate(Machine machine, int replicas, double price, double usedCpus) {}

  /** Without replicas first, since those have to be relocated; then the dearest and emptiest. */
  private static final Comparator<Candidate> ORDER =
      Comparator.comparingInt(Candidate::replicas)
          .thenComparing(Candidate::price, Comparator.reverseOrder())
          .thenComparingDouble(Candidate::usedCpus)
          .thenComparing(candidate -> candidate.machine.name());

  private final boolean lacksCapacity;
  private final Headroom headroom;
  private final LargeJobCapacity largeJobCapacity;
  private final ReplicaCapacity replicaCapacity;
  private final List<Candidate> candidates = new ArrayList<>();

  /** Processors that are to be left free, and those that are free on machines not selected. */
  private final double reserveCpus;

  private double freeCpus;

  /** Machines with replicas that may be selected, were selected and were tried. */
  private final int maxEmptied;

  private int emptied;
  private int tried;

  /**
   * Begins a selection.
   *
   * @param lacksCapacity whether tasks found no capacity, so that every machine is needed
   */
  IdleMachineSelector(
      List<Machine> schedulable,
      boolean lacksCapacity,
      Headroom headroom,
      Tuning tuning,
      JobClasses classes) {
    this.lacksCapacity = lacksCapacity;
    this.headroom = headroom;
    double usedCpus = 0;
    for (Machine machine : schedulable) {
      Candidate candidate = candidate(machine);
      candidates.add(candidate);
      usedCpus += candidate.usedCpus;
      freeCpus += machine.type().cpus() - candidate.usedCpus;
    }
    candidates.sort(ORDER);
    largeJobCapacity = new LargeJobCapacity(classes, schedulable);
    replicaCapacity = new ReplicaCapacity(schedulable);
    reserveCpus = tuning.reserveShare() * usedCpus * reserveScale(schedulable.size());
    maxEmptied = 1 + schedulable.size() / REFERENCE_FLEET_SIZE;
  }

  private static Candidate candidate(Machine machine) {
    double usedCpus = machine.type().cpus() - machine.availableWithPreemption(Priority.IDLE).cpus();
    double price =
        machine.type().hourlyPrice(machine.spot()) / Math.max(MIN_CPUS, machine.type().cpus());
    return new Candidate(machine, machine.attempts().replicaCount(), price, usedCpus);
  }

  /** Of many machines a smaller part is kept: what comes and goes varies by the square root. */
  private static double reserveScale(int fleetSize) {
    return Math.sqrt(Math.min(1, REFERENCE_FLEET_SIZE / (double) Math.max(1, fleetSize)));
  }

  /** All machines, in the order in which they are to be offered to {@link #select}. */
  List<Candidate> candidates() {
    return candidates;
  }

  /** How many machines with replicas may be selected. */
  int maxEmptied() {
    return maxEmptied;
  }

  /** Selects the machine if it is not needed; it counts as gone from then on. */
  boolean select(Candidate candidate, Instant now) {
    Machine machine = candidate.machine;
    double freeAfter = freeCpus - machine.type().cpus();
    boolean capacityIsLeft =
        !lacksCapacity
            && freeAfter >= reserveCpus
            && headroom.canRelease(machine)
            && largeJobCapacity.canRelease(machine);
    if (!capacityIsLeft || !replicasFitElsewhere(candidate, now)) {
      return false;
    }
    freeCpus = freeAfter;
    replicaCapacity.remove(machine);
    headroom.release(machine);
    largeJobCapacity.release(machine);
    return true;
  }

  /** Whether the machine has no replicas, or room was reserved for each on other machines. */
  private boolean replicasFitElsewhere(Candidate candidate, Instant now) {
    if (candidate.replicas == 0) {
      return true;
    }
    boolean fit =
        emptied < maxEmptied
            && tried++ < TRIES_PER_EMPTIED * maxEmptied
            && replicaCapacity.reserveForReplicasOf(candidate.machine, now);
    emptied += fit ? 1 : 0;
    return fit;
  }
}
