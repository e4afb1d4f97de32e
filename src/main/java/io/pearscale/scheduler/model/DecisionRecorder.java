package io.pearscale.scheduler.model;

import java.time.Duration;
import java.util.Set;

/**
 * Where decisions say what a successor must find stored. What is recorded is written with one of
 * the leader's next transactions; nothing is durable when a method returns.
 */
public interface DecisionRecorder {
  /**
   * The task's placement record is to name the attempt's machine, and the machine needs a record.
   */
  void recordPlacement(TaskAttempt attempt);

  /** The task is done. Until that is written its agent goes on to report it: there is no hurry. */
  void recordTaskDone(Job job, int task);

  /** All tasks of the job are done. */
  void recordJobFinished(Job job);

  /** The placement records of the job's tasks are not needed any more. */
  void removeJob(Job job);

  /** Gives the machine a place among the machine records, unless it has one. */
  void assignSlot(Machine machine);

  /** Whether the machine has a place among the machine records. */
  boolean hasSlot(Machine machine);

  /** The machine's record is to be written within that time. */
  void recordMachine(Machine machine, Duration within);

  /** The machine's record has changed, but nobody waits for it. */
  void recordMachineDeferred(Machine machine);

  /** The machine's record is to be written as soon as possible. */
  void recordMachineNow(Machine machine);

  /** The machine is gone, or nothing can be alive on it: its record is not needed any more. */
  void removeMachine(Machine machine);

  /** The cloud offers these types; the catalogue is stored if it has others. */
  void updateCatalogue(Set<String> typeNames);

  /** Asks for a transaction. */
  void requestCommit();
}
