package io.pearscale.scheduler.autoscaling;

import io.pearscale.protocol.MachineType;
import io.pearscale.scheduler.autoscaling.ScaleOutPlanner.Offering;
import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.JobClasses;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.Machine.Lifecycle;
import io.pearscale.scheduler.model.QuotaUsage;
import io.pearscale.scheduler.model.TaskAttempt;
import io.pearscale.scheduler.model.Tuning;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Decides which machines to provision, which to empty and which to release, from what is queued,
 * running and booting. It only makes plans; {@link MachineProvisioner} carries them out.
 */
public final class Autoscaler {
  /**
   * What the leader knows.
   *
   * @param schedulable which machines tasks may be placed on now
   * @param queuedJobs jobs with pending tasks, in the order in which they are scheduled
   * @param quotaUsage what each team has in use; the plan charges what it provisions for
   * @param unreachableZones zones in which nothing is provisioned, since it could not be reached
   * @param drainReplacements capacity that drains lack
   * @param mayScaleIn whether it is known where all tasks are, and retirements can be recorded
   */
  public record ClusterView(
      Collection<Machine> machines,
      Predicate<Machine> schedulable,
      Collection<Job> jobs,
      List<Job> queuedJobs,
      QuotaUsage quotaUsage,
      Collection<MachineType> types,
      Set<String> unreachableZones,
      List<ScaleOutPlanner.Demand> drainReplacements,
      boolean mayScaleIn) {
    /** All zones of the catalogue, in its order. */
    Set<String> zones() {
      Set<String> zones = new LinkedHashSet<>();
      types.forEach(type -> zones.addAll(type.zones()));
      return zones;
    }
  }

  /**
   * What is to be done.
   *
   * @param scaleOut how many machines to provision of each offering, in this order
   * @param scaleIn machines to release
   * @param relocations replicas to move off machines that are to be empty
   */
  public record ScalingPlan(
      Map<Offering, Integer> scaleOut, List<Machine> scaleIn, List<TaskAttempt> relocations) {}

  private final Tuning tuning;
  private final DemandEstimator demandEstimator;
  private final ScaleInPlanner scaleInPlanner;
  private ScaleOutPlanner scaleOutPlanner;

  /** Makes an autoscaler that has not requested anything. */
  public Autoscaler(Tuning tuning, JobClasses classes) {
    this.tuning = tuning;
    this.demandEstimator = new DemandEstimator(tuning, classes);
    this.scaleInPlanner = new ScaleInPlanner(tuning, classes);
    this.scaleOutPlanner = new ScaleOutPlanner(tuning);
  }

  /** A term begins: what was requested in another one is not counted as coming. */
  void beginTerm() {
    scaleOutPlanner = new ScaleOutPlanner(tuning);
  }

  /** Has to be notified of what the provider grants and refuses. */
  ScaleOutPlanner scaleOutPlanner() {
    return scaleOutPlanner;
  }

  /** What to do now; what is to be provisioned counts as requested. */
  ScalingPlan plan(ClusterView view, Instant now) {
    List<Machine> booting = new ArrayList<>();
    List<Machine> schedulable = new ArrayList<>();
    for (Machine machine : view.machines) {
      if (machine.lifecycle() == Lifecycle.BOOTING
          && now.isBefore(
              machine.provisionedAt().plus(ScaleOutPlanner.bootTimeout(machine.type())))) {
        booting.add(machine);
      } else if (view.schedulable.test(machine)) {
        schedulable.add(machine);
      }
    }
    Headroom headroom = demandEstimator.headroom(view, schedulable);
    List<ScaleOutPlanner.Demand> demands = demandEstimator.queuedDemands(view, schedulable);
    demands.addAll(headroom.demands());
    demands.addAll(view.drainReplacements);
    Map<Offering, Integer> scaleOut =
        scaleOutPlanner.plan(
            demands, booting, view.types, view.unreachableZones, view.machines.size(), now);
    scaleOut.forEach((offering, count) -> scaleOutPlanner.recordRequested(offering, count, now));
    ScalingPlan plan = new ScalingPlan(scaleOut, new ArrayList<>(), new ArrayList<>());
    if (view.mayScaleIn) {
      // Some tasks wait at any moment for the next pass; what counts is whether it finds capacity.
      boolean lacksCapacity = view.queuedJobs.stream().anyMatch(Job::isUnschedulable);
      scaleInPlanner.addTo(plan, schedulable, lacksCapacity, headroom, now);
    }
    return plan;
  }
}
