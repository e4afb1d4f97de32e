package io.pearscale.scheduler.autoscaling;

import io.pearscale.scheduler.model.TaskAttempt;
import java.util.List;

/**
 * What the autoscaler has to agree with drains: relocations of replicas count against disruption
 * budgets, and drains may lack capacity for what they displace.
 */
public interface RelocationGate {
  /** Capacity that drains lack at present. */
  List<ScaleOutPlanner.Demand> replacementDemands();

  /**
   * Requests that a replica be stopped, to be started on another machine.
   *
   * @return whether it will be stopped; if not, the replica stays
   */
  boolean requestRelocation(TaskAttempt attempt);
}
