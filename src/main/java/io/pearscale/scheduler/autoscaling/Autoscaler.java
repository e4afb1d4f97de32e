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
 * Decides which machines to provision, empty and release, based on queued and running tasks and
 * booting machines. It only creates plans; {@link MachineProvisioner} executes them.
 */
public final class Autoscaler {
  /**
   * The leader's view of the cluster.
   *
   * @param schedulable tests whether tasks may be placed on a machine now
   * @param queuedJobs jobs with pending tasks, in the order in which they are scheduled
   * @param quotaUsage resource usage of each team, to which the plan adds the queued demand that it
   *     covers
   * @param types the machine types of the cloud's catalogue
   * @param unreachableZones zones in which no machines are provisioned, because they could not be
   *     reached
   * @param drainReplacements capacity that drains need on other machines
   * @param mayScaleIn whether the locations of all tasks are known and retirements can be recorded
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
    /** Returns all zones of the catalogue, in catalogue order. */
    Set<String> zones() {
      Set<String> zones = new LinkedHashSet<>();
      types.forEach(type -> zones.addAll(type.zones()));
      return zones;
    }
  }

  /**
   * The actions that the autoscaler decided on.
   *
   * @param scaleOut number of machines to provision of each offering, in this order
   * @param scaleIn idle machines to release
   * @param relocations replicas to relocate from machines that are to be emptied
   */
  public record ScalingPlan(
      Map<Offering, Integer> scaleOut, List<Machine> scaleIn, List<TaskAttempt> relocations) {}

  private final Tuning tuning;
  private final DemandEstimator demandEstimator;
  private final ScaleInPlanner scaleInPlanner;
  private ScaleOutPlanner scaleOutPlanner;

  /** Creates an autoscaler without outstanding requests. */
  public Autoscaler(Tuning tuning, JobClasses classes) {
    this.tuning = tuning;
    this.demandEstimator = new DemandEstimator(tuning, classes);
    this.scaleInPlanner = new ScaleInPlanner(tuning, classes);
    this.scaleOutPlanner = new ScaleOutPlanner(tuning);
  }

  /** Begins a term; machines requested in a previous term do not count as requested. */
  void beginTerm() {
    scaleOutPlanner = new ScaleOutPlanner(tuning);
  }

  /** Returns the planner that has to be notified of granted and refused requests. */
  ScaleOutPlanner scaleOutPlanner() {
    return scaleOutPlanner;
  }

  /** Creates a plan; the machines it provisions count as requested from then on. */
  ScalingPlan plan(ClusterView view, Instant now) {
    List<Machine> booting = new ArrayList<>();
    List<Machine> schedulable = new ArrayList<>();
    for (Machine machine : view.machines) {
      if (machine.lifecycle() == Lifecycle.BOOTING
          && now.isBefore(
              machine.provisionedAt().plus(ScaleOutPlanner.bootAllowance(machine.type())))) {
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
      // Pending tasks alone don't show a lack of capacity: some always wait for the next pass.
      boolean lacksCapacity = view.queuedJobs.stream().anyMatch(Job::isUnschedulable);
      scaleInPlanner.addTo(plan, schedulable, lacksCapacity, headroom, now);
    }
    return plan;
  }
}
