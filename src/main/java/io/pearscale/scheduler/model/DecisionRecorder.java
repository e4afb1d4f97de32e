package io.pearscale.scheduler.model;

import java.time.Duration;
import java.util.Set;

/**
 * Receives the decisions that a successor must find in the key-value store. They are written with
 * one of the leader's next transactions; nothing is durable when a method returns.
 */
public interface DecisionRecorder {
  /**
   * Requests a placement record that names the attempt's machine, and a record of that machine if
   * it has none.
   */
  void recordPlacement(TaskAttempt attempt);

  /**
   * Requests a record that the task is done. The write may be delayed, because the agent reports
   * the task until the record is durable.
   */
  void recordTaskDone(Job job, int task);

  /** Requests a record that all tasks of the job are done. */
  void recordJobFinished(Job job);

  /** Requests removal of the job's placement records, which are no longer needed. */
  void removeJob(Job job);

  /** Assigns the machine a slot among the machine records, unless it has one. */
  void assignSlot(Machine machine);

  /** Returns whether the machine has a slot among the machine records. */
  boolean hasSlot(Machine machine);

  /** Requests a write of the machine's record within the given time. */
  void recordMachine(Machine machine, Duration within);

  /**
   * Requests a deferred write of the machine's record, for a change that no operation waits for.
   */
  void recordMachineDeferred(Machine machine);

  /** Requests a write of the machine's record as soon as possible. */
  void recordMachineNow(Machine machine);

  /**
   * Requests removal of the record of a machine that was deleted or on which no task can be
   * running.
   */
  void removeMachine(Machine machine);

  /** Stores the names of the machine types that the cloud provider offers, if they have changed. */
  void updateCatalogue(Set<String> typeNames);

  /** Requests a transaction. */
  void requestCommit();
}
