package io.pearscale.scheduler;

import io.pearscale.protocol.TaskId;
import java.time.Duration;
import java.time.Instant;

/** One attempt of a task on one machine, from the decision until it is known to be gone. */
final class TaskAttempt {
  enum Stage {
    /** Decided, no command sent: can be taken back. */
    PLANNED,
    /** A command was sent; whether it arrived is open. */
    SENT,
    FETCHING,
    /** Of a gang: it has its image, and waits for the others. */
    WAITING,
    RUNNING,
    SAVING
  }

  final Job job;
  final TaskId task;

  /**
   * The attempt's number; below 0 when a former leader gave it and no report has shown it: the task
   * is taken to be where its mark says until a report of that machine, or a proof, tells more.
   */
  long attempt;

  final Machine machine;
  Stage stage;

  /** Highest token and the session of any start command for this attempt. */
  long token;

  long session;

  /** Whether the mark that names the machine is durable: no start is sent before. */
  boolean marked;

  /** Whether a report has shown the attempt. */
  boolean confirmed;

  /** To be stopped. */
  boolean stopping;

  /** To be stopped without saving: what is to start instead can't wait for that. */
  boolean stopsAtOnce;

  Instant killSent = Instant.MIN;
  int kills;
  Instant since;

  /** How long it has been running by now; nothing if it is not. */
  Duration ranFor(Instant now) {
    return stage == Stage.RUNNING || stage == Stage.SAVING
        ? Duration.between(since, now)
        : Duration.ZERO;
  }

  TaskAttempt(Job job, TaskId task, long attempt, Machine machine, Stage stage, Instant since) {
    this.job = job;
    this.task = task;
    this.attempt = attempt;
    this.machine = machine;
    this.stage = stage;
    this.since = since;
  }
}
