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
 * Selects machines that are not needed: their tasks fit on other machines, and enough capacity
 * remains for expected demand. An instance is used for one plan; each selected machine counts as
 * removed in later selections.
 */
final class IdleMachineSelector {
  /** Fleet size up to which the configured reserve share applies unscaled. */
  private static final int REFERENCE_FLEET_SIZE = 40;

  /** Machines with replicas that are checked for each one that may be selected. */
  private static final int CHECKS_PER_SELECTION = 3;

  /** Keeps the price per CPU finite for a machine without CPUs. */
  private static final double MIN_CPUS = 1e-9;

  /**
   * A machine that may not be needed.
   *
   * @param replicas number of service tasks that would have to be relocated
   * @param price price per CPU and hour
   * @param usedCpus CPUs used by tasks above idle priority
   */
  record Candidate(Machine machine, int replicas, double price, double usedCpus) {}

  /** Fewest replicas first, since each has to be relocated; then most expensive, then emptiest. */
  private static final Comparator<Candidate> SELECTION_ORDER =
      Comparator.comparingInt(Candidate::replicas)
          .thenComparing(Candidate::price, Comparator.reverseOrder())
          .thenComparingDouble(Candidate::usedCpus)
          .thenComparing(candidate -> candidate.machine.name());

  private final boolean lacksCapacity;
  private final Headroom headroom;
  private final LargeJobCapacity largeJobCapacity;
  private final ReplicaCapacity replicaCapacity;
  private final List<Candidate> candidates = new ArrayList<>();

  /** CPUs that have to stay free on the machines that are not selected. */
  private final double reserveCpus;

  /** CPUs that are free on the machines that are not selected. */
  private double freeCpus;

  /** Maximum number of machines with replicas that may be selected. */
  private final int maxSelectedWithReplicas;

  private int selectedWithReplicas;
  private int checkedWithReplicas;

  /**
   * Starts a selection.
   *
   * @param schedulable machines on which tasks may be placed
   * @param lacksCapacity whether some task found no machine, so that every machine is needed
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
    candidates.sort(SELECTION_ORDER);
    largeJobCapacity = new LargeJobCapacity(classes, schedulable);
    replicaCapacity = new ReplicaCapacity(schedulable);
    reserveCpus = tuning.reserveShare() * usedCpus * reserveScale(schedulable.size());
    maxSelectedWithReplicas = 1 + schedulable.size() / REFERENCE_FLEET_SIZE;
  }

  private static Candidate candidate(Machine machine) {
    double usedCpus = machine.type().cpus() - machine.availableWithPreemption(Priority.IDLE).cpus();
    double price =
        machine.type().hourlyPrice(machine.spot()) / Math.max(MIN_CPUS, machine.type().cpus());
    return new Candidate(machine, machine.attempts().replicaCount(), price, usedCpus);
  }

  /** Reduces the reserve share of a large fleet: load varies with the square root of its size. */
  private static double reserveScale(int fleetSize) {
    return Math.sqrt(Math.min(1, REFERENCE_FLEET_SIZE / (double) Math.max(1, fleetSize)));
  }

  /** Returns all machines in the order in which they have to be passed to {@link #select}. */
  List<Candidate> candidates() {
    return candidates;
  }

  /** Returns the maximum number of machines with replicas that may be selected. */
  int maxSelectedWithReplicas() {
    return maxSelectedWithReplicas;
  }

  /** Selects the machine if it is not needed; from then on it counts as removed. */
  boolean select(Candidate candidate, Instant now) {
    Machine machine = candidate.machine;
    double freeCpusAfter = freeCpus - machine.type().cpus();
    boolean capacitySuffices =
        !lacksCapacity
            && freeCpusAfter >= reserveCpus
            && headroom.canRelease(machine)
            && largeJobCapacity.canRelease(machine);
    if (!capacitySuffices || !replicasFitElsewhere(candidate, now)) {
      return false;
    }
    freeCpus = freeCpusAfter;
    replicaCapacity.remove(machine);
    headroom.release(machine);
    largeJobCapacity.release(machine);
    return true;
  }

  /** Returns whether the machine has no replicas or capacity was reserved elsewhere for each. */
  private boolean replicasFitElsewhere(Candidate candidate, Instant now) {
    if (candidate.replicas == 0) {
      return true;
    }
    boolean fit =
        selectedWithReplicas < maxSelectedWithReplicas
            && checkedWithReplicas++ < CHECKS_PER_SELECTION * maxSelectedWithReplicas
            && replicaCapacity.reserveForReplicasOf(candidate.machine, now);
    selectedWithReplicas += fit ? 1 : 0;
    return fit;
  }
}
