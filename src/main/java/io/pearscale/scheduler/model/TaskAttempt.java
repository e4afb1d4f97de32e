package io.pearscale.scheduler.model;

import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.TaskId;
import java.time.Duration;
import java.time.Instant;

/** An attempt of a task on a machine, from the decision to start it until it is proven absent. */
public final class TaskAttempt {
  /** The stage of an attempt, as far as the leader knows it, in order of progress. */
  public enum Stage {
    /** The start was decided and no command was sent; it can be withdrawn. */
    PLANNED,
    /** A start command was sent; it is unknown whether the agent received it. */
    START_SENT,
    /** The image is being fetched. */
    FETCHING,
    /** The task belongs to a gang, has its image and waits for the other tasks. */
    WAITING_FOR_GANG,
    /** The process is running. */
    RUNNING,
    /** The process received a stop request and writes a checkpoint. */
    CHECKPOINTING
  }

  /**
   * The number of an attempt that a previous leader started and that no heartbeat has reported yet.
   */
  private static final long UNIDENTIFIED = -1;

  private final Job job;
  private final TaskId task;
  private final Machine machine;
  private long number;
  private Stage stage;
  private Instant stageSince;
  private long startToken;
  private long startIncarnation;
  private boolean placementRecorded;
  private boolean observed;
  private boolean stopping;
  private boolean stopsWithoutCheckpoint;
  private Instant lastStopSentAt = Instant.MIN;
  private int stopsSent;

  /**
   * Creates an attempt at the given stage.
   *
   * @param number unique across all terms
   */
  public TaskAttempt(
      Job job, TaskId task, long number, Machine machine, Stage stage, Instant stageSince) {
    this.job = job;
    this.task = task;
    this.number = number;
    this.machine = machine;
    this.stage = stage;
    this.stageSince = stageSince;
  }

  /**
   * Creates the attempt that a previous leader's placement record names. It counts as being on the
   * machine until a heartbeat of that machine or an absence proof says otherwise.
   */
  public static TaskAttempt fromRecord(Job job, TaskId task, Machine machine, Instant now) {
    TaskAttempt attempt = new TaskAttempt(job, task, UNIDENTIFIED, machine, Stage.START_SENT, now);
    attempt.placementRecorded = true;
    return attempt;
  }

  /**
   * Creates an attempt that a heartbeat reports although no decision or record names it.
   *
   * @param token the fencing token that the heartbeat reports; no start command carried a higher
   *     one
   */
  public static TaskAttempt fromHeartbeat(
      Job job, AttemptId id, Machine machine, long token, long incarnation) {
    TaskAttempt attempt =
        new TaskAttempt(job, id.task(), id.attempt(), machine, Stage.START_SENT, job.submittedAt());
    attempt.startToken = token;
    attempt.startIncarnation = incarnation;
    return attempt;
  }

  /** Returns the job of the task. */
  public Job job() {
    return job;
  }

  /** Returns the submitted specification of the job. */
  public JobSpec spec() {
    return job.spec();
  }

  /** Returns the task. */
  public TaskId task() {
    return task;
  }

  /** Returns the machine on which the attempt is planned or may be. */
  public Machine machine() {
    return machine;
  }

  /**
   * Returns the attempt's number, which is unique across all terms, or a value below 0 while it
   * {@linkplain #isIdentified is unknown}.
   */
  public long number() {
    return number;
  }

  /**
   * Returns whether the attempt's number is known. It is unknown if a previous leader assigned it
   * and no heartbeat has reported it.
   */
  public boolean isIdentified() {
    return number >= 0;
  }

  /**
   * Records the number of an attempt that a placement record named, as reported by a heartbeat,
   * together with the agent's fencing token and incarnation.
   */
  public void identify(long observedNumber, long token, long incarnation) {
    if (isIdentified()) {
      throw new IllegalStateException(
          "attempt " + number + " of " + task + " is already identified");
    }
    number = observedNumber;
    startToken = token;
    startIncarnation = incarnation;
  }

  /** Returns the last known stage. */
  public Stage stage() {
    return stage;
  }

  /**
   * Returns when the attempt was planned or, once a heartbeat has reported it running, the time of
   * that heartbeat. An attempt of a previous leader that is not known to run counts from its
   * recovery or, if no placement record names it, from the submission of its job.
   */
  public Instant stageSince() {
    return stageSince;
  }

  /** Returns how long the attempt has been running, or zero if it is not running. */
  public Duration runningTime(Instant now) {
    return stage == Stage.RUNNING || stage == Stage.CHECKPOINTING
        ? Duration.between(stageSince, now)
        : Duration.ZERO;
  }

  /** Returns the highest fencing token of any start command for the attempt. */
  public long startToken() {
    return startToken;
  }

  /** Returns the agent's incarnation that the last start command named. */
  public long startIncarnation() {
    return startIncarnation;
  }

  /**
   * Returns whether the placement record that names the machine is durable. No start is sent
   * before.
   */
  public boolean placementRecorded() {
    return placementRecorded;
  }

  /** Records that the placement record that names the machine is durable. */
  public void markPlacementRecorded() {
    placementRecorded = true;
  }

  /** Records that the start command is being sent for the first time. */
  public void recordStartSent(long token, long incarnation) {
    if (stage != Stage.PLANNED || !placementRecorded) {
      throw new IllegalStateException(
          "start of "
              + task
              + " requires stage PLANNED and a durable placement record, but stage is "
              + stage
              + " and placementRecorded is "
              + placementRecorded);
    }
    stage = Stage.START_SENT;
    recordStartResent(token, incarnation);
  }

  /** Records that the start command is being sent again. The agent never runs an attempt twice. */
  public void recordStartResent(long token, long incarnation) {
    startToken = token;
    startIncarnation = incarnation;
  }

  /** Records that the start command was not executed and never will be. */
  public void recordStartNotExecuted() {
    stage = Stage.PLANNED;
  }

  /** Returns whether a message from the machine has reported the attempt. */
  public boolean observed() {
    return observed;
  }

  /** Records the stage that a message from the machine reports. */
  public void observe(Stage observedStage) {
    observed = true;
    stage = observedStage;
  }

  /** Starts counting the running time from now. */
  public void beginRunning(Instant now) {
    stageSince = now;
  }

  /** Returns whether the attempt is to be stopped. */
  public boolean stopping() {
    return stopping;
  }

  /**
   * Returns whether the attempt is to be stopped without a checkpoint, because the task that
   * replaces it can't wait for one.
   */
  public boolean stopsWithoutCheckpoint() {
    return stopsWithoutCheckpoint;
  }

  /** Requests a stop. The resources of the attempt then count as available to other tasks. */
  public void requestStop() {
    stopping = true;
    machine.attempts().invalidateAvailable();
  }

  /** Requires that the stop does not wait for a checkpoint. */
  public void forbidCheckpoint() {
    stopsWithoutCheckpoint = true;
  }

  /** Records that a stop command is being sent. */
  public void recordStopSent(Instant now) {
    lastStopSentAt = now;
    stopsSent++;
  }

  /** Resets the number of sent stop commands, so that the stop is sent as if for the first time. */
  public void resetStopsSent() {
    stopsSent = 0;
  }

  /**
   * Returns when a stop command was last sent, even if the number was reset since, or {@link
   * Instant#MIN} if none was.
   */
  public Instant lastStopSentAt() {
    return lastStopSentAt;
  }

  /** Returns the number of stop commands sent since the number was last reset. */
  public int stopsSent() {
    return stopsSent;
  }
}
