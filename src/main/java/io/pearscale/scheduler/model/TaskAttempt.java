package io.pearscale.scheduler.model;

import io.pearscale.protocol.TaskId;
import java.time.Duration;
import java.time.Instant;

/** One attempt of a task on one machine, from the decision until it is known to be gone. */
public final class TaskAttempt {
  /** How far an attempt has come, in the order in which a task goes through the stages. */
  public enum Stage {
    /** Decided, no command sent: can be taken back. */
    PLANNED,
    /** A command was sent; whether it arrived is open. */
    START_SENT,
    FETCHING,
    /** Of a gang: it has its image, and waits for the others. */
    WAITING_FOR_GANG,
    RUNNING,
    CHECKPOINTING
  }

  public final Job job;
  public final TaskId task;

  /**
   * The attempt's number; below 0 when a former leader gave it and no report has shown it: the task
   * is taken to be where its mark says until a report of that machine, or a proof, tells more.
   */
  public long number;

  public final Machine machine;
  public Stage stage;

  /** Highest token and the session of any start command for this attempt. */
  public long startToken;

  public long startIncarnation;

  /** Whether the mark that names the machine is durable: no start is sent before. */
  public boolean placementRecorded;

  /** Whether a report has shown the attempt. */
  public boolean observed;

  /** To be stopped. */
  public boolean stopping;

  /** To be stopped without saving: what is to start instead can't wait for that. */
  public boolean stopsWithoutCheckpoint;

  public Instant lastStopSentAt = Instant.MIN;
  public int stopsSent;
  public Instant stageSince;

  /** How long it has been running by now; nothing if it is not. */
  public Duration runningTime(Instant now) {
    return stage == Stage.RUNNING || stage == Stage.CHECKPOINTING
        ? Duration.between(stageSince, now)
        : Duration.ZERO;
  }

  /** Creates an attempt that has been observed by no heartbeat. */
  public TaskAttempt(
      Job job, TaskId task, long attempt, Machine machine, Stage stage, Instant since) {
    this.job = job;
    this.task = task;
    this.number = attempt;
    this.machine = machine;
    this.stage = stage;
    this.stageSince = since;
  }
}
