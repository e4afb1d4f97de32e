package io.pearscale.scheduler.model;

import io.pearscale.gang.GangAttempt;
import io.pearscale.gang.GangAttempt.Action;
import io.pearscale.gang.GangAttempt.Phase;
import io.pearscale.gang.Member;
import io.pearscale.gang.MemberStage;
import io.pearscale.scheduler.model.TaskAttempt.Stage;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Tracks the current attempt of each gang job that has, or had, tasks on machines. */
public final class GangTracker {
  private static final Logger LOG = LoggerFactory.getLogger(GangTracker.class);

  /** The maximum number of machines that a wait reason names. */
  private static final int MAX_MACHINES_IN_WAIT_REASON = 3;

  private final Leadership leadership;
  private final InstantSource clock;
  private final Duration formationTimeout;
  private final Map<Job, GangAttempt> attempts = new HashMap<>();
  private final Map<Job, Instant> phaseSince = new HashMap<>();
  private Duration lostWork = Duration.ZERO;

  /**
   * Creates a tracker without any gangs.
   *
   * @param formationTimeout how long a task of a gang waits for the others
   */
  public GangTracker(Leadership leadership, InstantSource clock, Duration formationTimeout) {
    this.leadership = leadership;
    this.clock = clock;
    this.formationTimeout = formationTimeout;
  }

  /** Removes all gangs when the term ends. */
  public void clear() {
    attempts.clear();
    phaseSince.clear();
    lostWork = Duration.ZERO;
  }

  /** Removes the gang of a job that has ended. */
  public void remove(Job job) {
    attempts.remove(job);
    phaseSince.remove(job);
  }

  private GangAttempt attemptOf(Job job) {
    phaseSince.putIfAbsent(job, clock.instant());
    return attempts.computeIfAbsent(job, j -> new GangAttempt(j.spec().tasks(), formationTimeout));
  }

  /** Returns the phase that the last evaluation of the job's current attempt found. */
  public Phase phase(Job job) {
    return attemptOf(job).phase();
  }

  /** Returns whether tasks of the gang are placed but the gang is not running. */
  public boolean isWaiting(Job job) {
    Phase phase = phase(job);
    return phase != Phase.VACANT && phase != Phase.RUNNING;
  }

  /** Returns what a waiting gang waits for, as a phrase for operators. */
  public String waitReason(Job job) {
    return switch (phase(job)) {
      case FORMING ->
          "%d of the %d tasks of its gang have their image, and wait for the others: %s"
              .formatted(
                  countInStage(job, Stage.WAITING_FOR_GANG), job.spec().tasks(), stragglers(job));
      case ENDING ->
          "tasks of the attempt before are not yet proven gone: "
              + machineNames(job, attempt -> true);
      case UNKNOWN ->
          "tasks that a former leader placed were not shown yet: "
              + machineNames(job, attempt -> !attempt.observed());
      case VACANT, RUNNING -> "it does not wait";
    };
  }

  private static long countInStage(Job job, Stage stage) {
    return job.attempts().values().stream().filter(attempt -> attempt.stage() == stage).count();
  }

  private static String stragglers(Job job) {
    return machineNames(job, attempt -> attempt.stage().compareTo(Stage.WAITING_FOR_GANG) < 0);
  }

  private static String machineNames(Job job, Predicate<TaskAttempt> filter) {
    return job.attempts().values().stream()
        .filter(filter)
        .limit(MAX_MACHINES_IN_WAIT_REASON)
        .map(attempt -> attempt.machine().name())
        .distinct()
        .collect(Collectors.joining(", "));
  }

  /** Evaluates the gang's tasks and returns the next action for the gang. */
  public Action nextAction(Job job) {
    if (job.hasDoneTasks()) {
      // One completed task completes the gang: the remaining tasks exit by themselves.
      return Action.NONE;
    }
    GangAttempt attempt = attemptOf(job);
    Phase previousPhase = attempt.phase();
    Action action = attempt.nextAction(membersOf(job), clock.instant());
    recordPhaseChange(job, previousPhase, /* checkpointed= */ false);
    return action;
  }

  /**
   * Logs a phase change, and adds up the run time that is lost when a running gang has to end
   * without a checkpoint.
   */
  private void recordPhaseChange(Job job, Phase previousPhase, boolean checkpointed) {
    GangAttempt attempt = attemptOf(job);
    Phase phase = attempt.phase();
    if (previousPhase == phase) {
      return;
    }
    Instant now = clock.instant();
    Duration previousPhaseDuration = Duration.between(phaseSince.put(job, now), now);
    if (previousPhase == Phase.RUNNING
        && phase == Phase.ENDING
        && !job.hasDoneTasks()
        && !checkpointed) {
      lostWork = lostWork.plus(workSinceCheckpoint(job, previousPhaseDuration));
    }
    LOG.info(
        "event=gang term={} job={} phase={} attempt={} tasks={} ended={} before={} lasted_ms={}",
        leadership.term(),
        job.spec().id(),
        phase,
        attempt.number().orElse(-1L),
        job.attempts().size(),
        attempt.endedAttempts(),
        previousPhase,
        previousPhaseDuration.toMillis());
  }

  /**
   * Returns the run time since the last checkpoint, added up over all tasks. It is derived from the
   * time that this leader observed the gang running.
   */
  private static Duration workSinceCheckpoint(Job job, Duration runDuration) {
    long checkpointMillis = job.spec().checkpointInterval().toMillis();
    long sinceCheckpoint =
        checkpointMillis == 0 ? runDuration.toMillis() : runDuration.toMillis() % checkpointMillis;
    return Duration.ofMillis(sinceCheckpoint * job.spec().tasks());
  }

  private static Collection<Member> membersOf(Job job) {
    List<Member> members = new ArrayList<>(job.attempts().size());
    for (TaskAttempt attempt : job.attempts().values()) {
      members.add(new Member(attempt.number(), stageOf(attempt.stage()), attempt.stopping()));
    }
    return members;
  }

  private static MemberStage stageOf(Stage stage) {
    return switch (stage) {
      case PLANNED -> MemberStage.PLANNED;
      case START_SENT -> MemberStage.SENT;
      case FETCHING -> MemberStage.FETCHING;
      case WAITING_FOR_GANG -> MemberStage.WAITING;
      case RUNNING -> MemberStage.RUNNING;
      case CHECKPOINTING -> MemberStage.CHECKPOINTING;
    };
  }

  /** Begins an attempt with the given number. */
  public void beginAttempt(Job job, long number) {
    Phase previousPhase = phase(job);
    attemptOf(job).begin(number, clock.instant());
    recordPhaseChange(job, previousPhase, /* checkpointed= */ false);
  }

  /** Returns the number of the current attempt, under which missing tasks are started. */
  public long attemptNumber(Job job) {
    return attemptOf(job).number().orElseThrow();
  }

  /**
   * Records that all tasks of the gang are being stopped.
   *
   * @param checkpoints whether the tasks get time for a checkpoint
   */
  public void recordEnding(Job job, boolean checkpoints) {
    Phase previousPhase = phase(job);
    attemptOf(job).markEnding();
    recordPhaseChange(job, previousPhase, checkpoints);
  }

  /**
   * Records that a task of the given attempt exited because other tasks were missing or had ended.
   */
  public void recordBroken(Job job, long attempt) {
    attemptOf(job).markBroken(attempt);
  }

  /**
   * Returns whether starts of the job's tasks may be sent. Tasks of a gang are started only when
   * all its tasks are placed and all their placement and machine records are durable. This avoids
   * starts of tasks that would wait for tasks that are not placed, and a successor knows of every
   * started task.
   */
  public static boolean mayStart(Job job) {
    if (!job.spec().isGang()) {
      return true;
    }
    return job.attempts().size() == job.spec().tasks()
        && job.attempts().values().stream()
            .allMatch(
                attempt ->
                    attempt.stage() != Stage.PLANNED
                        || (attempt.placementRecorded()
                            && attempt.machine().record().isRecorded()));
  }

  /**
   * Returns the fields of a log line: the number of gangs in each phase, the number of ended
   * attempts and the lost run time.
   */
  public String logFields() {
    int[] gangsByPhase = new int[Phase.values().length];
    int endedAttempts = 0;
    for (GangAttempt attempt : attempts.values()) {
      gangsByPhase[attempt.phase().ordinal()]++;
      endedAttempts += attempt.endedAttempts();
    }
    return ("gangs_forming=%d gangs_running=%d gangs_ending=%d gangs_unknown=%d gang_attempts_ended=%d"
            + " gang_work_lost_s=%d")
        .formatted(
            gangsByPhase[Phase.FORMING.ordinal()],
            gangsByPhase[Phase.RUNNING.ordinal()],
            gangsByPhase[Phase.ENDING.ordinal()],
            gangsByPhase[Phase.UNKNOWN.ordinal()],
            endedAttempts,
            lostWork.toSeconds());
  }
}
