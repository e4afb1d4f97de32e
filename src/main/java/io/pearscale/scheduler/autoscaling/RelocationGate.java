package io.pearscale.scheduler.autoscaling;

import io.pearscale.scheduler.model.TaskAttempt;
import java.util.List;

/**
 * Coordinates the autoscaler with drains: relocations of replicas count against disruption budgets,
 * and drains may need capacity for the tasks that they displace.
 */
public interface RelocationGate {
  /** Returns the capacity that drains currently need on other machines. */
  List<ScaleOutPlanner.Demand> replacementDemands();

  /**
   * Requests that a replica be stopped, so that it is started on another machine.
   *
   * @return whether the replica will be stopped
   */
  boolean requestRelocation(TaskAttempt attempt);
}
