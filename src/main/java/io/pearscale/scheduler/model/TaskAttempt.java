package io.pearscale.scheduler.model;

import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.TaskId;
import java.time.Duration;
import java.time.Instant;

/** One attempt of a task on one machine, from the decision until it is known to be gone. */
public final class TaskAttempt {
  /** What is known of an attempt; a later constant is further on. */
  public enum Stage {
    /** Decided, no command sent: can be taken back. */
    PLANNED,
    /** A start command was sent; whether it arrived is open. */
    START_SENT,
    /** Its image is being fetched. */
    FETCHING,
    /** Of a gang: it has its image, and waits for the others. */
    WAITING_FOR_GANG,
    /** Its process runs. */
    RUNNING,
    /** It was stopped and saves what it has done. */
    CHECKPOINTING
  }

  /** The number of an attempt that a previous leader gave and no heartbeat has shown yet. */
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
   * An attempt at the given stage.
   *
   * @param number unique over all terms
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
   * The attempt that a placement record of a previous leader names: it is taken to be on the
   * machine until a heartbeat of that machine, or a proof, tells more.
   */
  public static TaskAttempt fromRecord(Job job, TaskId task, Machine machine, Instant now) {
    TaskAttempt attempt = new TaskAttempt(job, task, UNIDENTIFIED, machine, Stage.START_SENT, now);
    attempt.placementRecorded = true;
    return attempt;
  }

  /**
   * The attempt that a heartbeat shows although no decision or record names it.
   *
   * @param token the fencing token that the heartbeat shows: no start command was above it
   */
  public static TaskAttempt fromHeartbeat(
      Job job, AttemptId id, Machine machine, long token, long incarnation) {
    TaskAttempt attempt =
        new TaskAttempt(job, id.task(), id.attempt(), machine, Stage.START_SENT, job.submittedAt());
    attempt.startToken = token;
    attempt.startIncarnation = incarnation;
    return attempt;
  }

  /** The job that the task is of. */
  public Job job() {
    return job;
  }

  /** What was submitted as the job. */
  public JobSpec spec() {
    return job.spec();
  }

  /** The task. */
  public TaskId task() {
    return task;
  }

  /** The machine that it is decided for, or may be on. */
  public Machine machine() {
    return machine;
  }

  /** Its number, unique over all terms; below 0 while it {@linkplain #isIdentified is unknown}. */
  public long number() {
    return number;
  }

  /**
   * Whether its number is known: not when a previous leader gave it and no heartbeat has shown it.
   */
  public boolean isIdentified() {
    return number >= 0;
  }

  /** A heartbeat shows the attempt that a placement record had named, with the agent's token. */
  public void identify(long observedNumber, long token, long incarnation) {
    if (isIdentified()) {
      throw new IllegalStateException("attempt " + number + " of " + task + " is identified");
    }
    number = observedNumber;
    startToken = token;
    startIncarnation = incarnation;
  }

  /** How far it is, as far as known. */
  public Stage stage() {
    return stage;
  }

  /** When it was decided; from when it was seen to run, that time. */
  public Instant stageSince() {
    return stageSince;
  }

  /** How long it has been running by now; zero if it is not. */
  public Duration runningTime(Instant now) {
    return stage == Stage.RUNNING || stage == Stage.CHECKPOINTING
        ? Duration.between(stageSince, now)
        : Duration.ZERO;
  }

  /** The highest fencing token of any start command for it. */
  public long startToken() {
    return startToken;
  }

  /** The agent's incarnation that the last start command for it named. */
  public long startIncarnation() {
    return startIncarnation;
  }

  /** Whether the placement record that names the machine is durable: no start is sent before. */
  public boolean placementRecorded() {
    return placementRecorded;
  }

  /** The placement record that names the machine has become durable. */
  public void markPlacementRecorded() {
    placementRecorded = true;
  }

  /** The start command is being sent for the first time. */
  public void recordStartSent(long token, long incarnation) {
    if (stage != Stage.PLANNED || !placementRecorded) {
      throw new IllegalStateException(
          "start of " + task + " at " + stage + ", recorded: " + placementRecorded);
    }
    stage = Stage.START_SENT;
    recordStartResent(token, incarnation);
  }

  /** The start command is being sent again; the same attempt can't run twice. */
  public void recordStartResent(long token, long incarnation) {
    startToken = token;
    startIncarnation = incarnation;
  }

  /** The command with its start was not executed and never will be. */
  public void recordStartNotExecuted() {
    stage = Stage.PLANNED;
  }

  /** Whether a message of the machine has shown it. */
  public boolean observed() {
    return observed;
  }

  /** A message of the machine shows it at that stage. */
  public void observe(Stage observedStage) {
    observed = true;
    stage = observedStage;
  }

  /** Its running time counts from now. */
  public void beginRunning(Instant now) {
    stageSince = now;
  }

  /** Whether it is to be stopped. */
  public boolean stopping() {
    return stopping;
  }

  /** Whether it is to be stopped without saving: what is to start instead can't wait for that. */
  public boolean stopsWithoutCheckpoint() {
    return stopsWithoutCheckpoint;
  }

  /** It is to be stopped: what it takes counts as available for others. */
  public void requestStop() {
    stopping = true;
    machine.attempts().invalidateAvailable();
  }

  /** Its stop must not wait for it to save. */
  public void forbidCheckpoint() {
    stopsWithoutCheckpoint = true;
  }

  /** A stop command for it is being sent. */
  public void recordStopSent(Instant now) {
    lastStopSentAt = now;
    stopsSent++;
  }

  /** Its stop is to be sent as if none had been sent. */
  public void resetStopsSent() {
    stopsSent = 0;
  }

  /** When a stop command was last sent; MIN if none was. */
  public Instant lastStopSentAt() {
    return lastStopSentAt;
  }

  /** How many stop commands were sent, apart from those that were not executed. */
  public int stopsSent() {
    return stopsSent;
  }
}
