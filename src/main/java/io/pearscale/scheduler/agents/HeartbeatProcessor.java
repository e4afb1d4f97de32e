package io.pearscale.scheduler.agents;

import io.pearscale.protocol.Heartbeat;
import io.pearscale.protocol.Heartbeat.TaskStatus;
import io.pearscale.protocol.JobSpec;
import io.pearscale.scheduler.model.AbsenceProof;
import io.pearscale.scheduler.model.AttemptId;
import io.pearscale.scheduler.model.DecisionLog;
import io.pearscale.scheduler.model.DecisionRecorder;
import io.pearscale.scheduler.model.GangTracker;
import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.JobTable;
import io.pearscale.scheduler.model.LeaderState;
import io.pearscale.scheduler.model.LeaderStatistics;
import io.pearscale.scheduler.model.Leadership;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.MachineInventory;
import io.pearscale.scheduler.model.ReportedAttempts;
import io.pearscale.scheduler.model.TaskAttempt;
import io.pearscale.scheduler.model.TaskAttempt.Stage;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Takes in what workers say, from whichever way it came, and with it the proofs of where tasks are
 * and are not.
 */
public final class HeartbeatProcessor {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatProcessor.class);

  /** Whoever refused a start is left alone for so long. */
  private static final Duration REFUSED_START_BACKOFF = Duration.ofSeconds(2);

  private final Leadership leadership;
  private final JobTable jobs;
  private final MachineInventory inventory;
  private final DecisionRecorder records;
  private final InstantSource clock;
  private final Runnable requestPass;
  private final FaultAttribution faultAttribution;
  private final GracefulTermination termination;
  private final GangTracker gangs;
  private final LeaderStatistics statistics;
  private final DecisionLog decisions;

  /** Creates a processor over the state of the given leader. */
  public HeartbeatProcessor(
      LeaderState state,
      FaultAttribution faultAttribution,
      GracefulTermination termination,
      LeaderStatistics statistics) {
    this.leadership = state.leadership();
    this.jobs = state.jobs();
    this.inventory = state.inventory();
    this.records = state.records();
    this.clock = state.clock();
    this.requestPass = state.requestPass();
    this.faultAttribution = faultAttribution;
    this.termination = termination;
    this.gangs = state.gangs();
    this.statistics = statistics;
    this.decisions = state.decisions();
  }

  /**
   * Takes in what a worker says, from whichever way it came. The message must be a newer one.
   *
   * @param reachable whether it shows that what we say reaches the machine
   */
  void process(Machine machine, Heartbeat heartbeat, boolean reachable) {
    updateMachine(machine, heartbeat);
    if (!machine.reconciled()) {
      if (!leadership.isFromThisTerm(heartbeat.fencingToken())) {
        // It has not heard of this term, or is a late copy: it says nothing of what an old command
        // may yet do, nor that the machine is alive.
        return;
      }
      machine.reconcile();
      requestPass.run();
    }
    updateLiveness(machine, heartbeat, reachable);
    ReportedAttempts.Previous previous = machine.reportedAttempts().beginMessage();
    Set<TaskAttempt> reported = new HashSet<>();
    for (TaskStatus status : heartbeat.tasks()) {
      if (status.stage() == Heartbeat.Stage.ENDED) {
        applyEnded(machine, heartbeat, status, previous);
      } else {
        applyPresent(machine, heartbeat, status, previous).ifPresent(reported::add);
      }
    }
    removeUnreported(machine, heartbeat, reported);
    if (machine.preemptionNoticeAt().isPresent()) {
      prepareForPreemption(machine);
    }
    if (!machine.reportedAttempts().unknown().isEmpty()) {
      inventory.markCommandDue(machine);
    }
  }

  /** Takes in what a report says of the machine itself, whatever term it has heard of. */
  private void updateMachine(Machine machine, Heartbeat heartbeat) {
    Instant now = clock.instant();
    updateIncarnation(machine, heartbeat, now);
    machine.recordMessage(heartbeat.fencingToken(), heartbeat.address());
    if (machine.record().isOutdatedBy(machine.address())) {
      records.recordMachineDeferred(machine);
    }
    if (machine.reachability().messageReceived()) {
      LOG.info(
          "event=machine_up term={} machine={} type={} zone={} spot={} after_ms={}",
          leadership.term(),
          machine.name(),
          machine.type().name(),
          machine.zone(),
          machine.spot(),
          Duration.between(machine.provisionedAt(), now).toMillis());
    }
  }

  /** Takes in the session; one that was not expected is worth a line in the log. */
  private void updateIncarnation(Machine machine, Heartbeat heartbeat, Instant now) {
    long previous = machine.lease().incarnation();
    boolean isNew = machine.lease().observe(heartbeat, now);
    if (isNew && (machine.leaseExpired() || (previous > 0 && heartbeat.incarnation() > previous))) {
      decisions.incarnationBegan(machine, heartbeat, previous);
    }
  }

  /** Notes that a machine lives, and for how long it will. */
  private void updateLiveness(Machine machine, Heartbeat heartbeat, boolean reachable) {
    Instant now = clock.instant();
    if (reachable) {
      machine.reachability().reached(now);
    }
    if (heartbeat.preemptionNotice().isPresent() && machine.preemptionNoticeAt().isEmpty()) {
      LOG.info(
          "event=spot_notice term={} machine={} left={}",
          leadership.term(),
          machine.name(),
          heartbeat.preemptionNotice().get());
    }
    machine.recordAlive(heartbeat.preemptionNotice().map(now::plus));
  }

  /** The job of a reported task; empty when it is over or has no such task. */
  private Optional<Job> jobOf(TaskStatus status) {
    return Optional.ofNullable(jobs.get(status.task().job()))
        .filter(job -> status.task().index() < job.spec().tasks());
  }

  /** What is known of a reported attempt; one that a former leader gave is known from now on. */
  private Optional<TaskAttempt> attemptOf(Machine machine, Heartbeat heartbeat, TaskStatus status) {
    TaskAttempt attempt = machine.attempts().get(status.task());
    if (attempt != null && !attempt.isIdentified()) {
      attempt.identify(status.attempt(), heartbeat.fencingToken(), heartbeat.incarnation());
    }
    return Optional.ofNullable(attempt).filter(known -> known.number() == status.attempt());
  }

  private void applyEnded(
      Machine machine, Heartbeat heartbeat, TaskStatus status, ReportedAttempts.Previous previous) {
    Optional<TaskAttempt> known = attemptOf(machine, heartbeat, status);
    // What is done stays done however often it is started: no token need be raised for it.
    long startToken =
        status.cause().equals("done")
            ? -1
            : known.map(attempt -> attempt.startToken()).orElse(machine.fencing().current());
    AttemptId key = new AttemptId(status.task(), status.attempt());
    machine.reportedAttempts().addEnded(key, startToken, previous);
    known.ifPresent(attempt -> inventory.remove(attempt, AbsenceProof.ENDED));
    attributeEnd(machine, jobOf(status).orElse(null), status, known.orElse(null));
  }

  /** Takes in a task that is on the machine; empty if it must not be there. */
  private Optional<TaskAttempt> applyPresent(
      Machine machine, Heartbeat heartbeat, TaskStatus status, ReportedAttempts.Previous previous) {
    Optional<Job> job = jobOf(status);
    Optional<TaskAttempt> known = attemptOf(machine, heartbeat, status);
    if (known.isEmpty() && job.isPresent() && !job.get().isDone(status.task().index())) {
      known = adopt(job.get(), machine, heartbeat, status);
    }
    if (known.isEmpty()) {
      AttemptId key = new AttemptId(status.task(), status.attempt());
      machine.reportedAttempts().addUnknown(key, previous);
    }
    known.ifPresent(attempt -> updateStage(attempt, status.stage()));
    return known;
  }

  /** Takes a task over that nobody knew to be here; empty if it is known to be elsewhere. */
  private Optional<TaskAttempt> adopt(
      Job job, Machine machine, Heartbeat heartbeat, TaskStatus status) {
    TaskAttempt other = job.attempts().get(status.task().index());
    if (other != null && other.stage() == Stage.PLANNED) {
      inventory.remove(other, AbsenceProof.NOT_SENT);
      other = null;
    }
    if (other != null) {
      LOG.error(
          "event=task_twice task={} machine={} other={}",
          status.task(),
          machine.name(),
          other.machine().name());
      return Optional.empty();
    }
    TaskAttempt adopted =
        TaskAttempt.fromHeartbeat(
            job,
            new AttemptId(status.task(), status.attempt()),
            machine,
            heartbeat.fencingToken(),
            heartbeat.incarnation());
    inventory.add(adopted);
    records.recordPlacement(adopted);
    return Optional.of(adopted);
  }

  /** What is not in the report is gone only if no command for it can still be on its way. */
  private void removeUnreported(Machine machine, Heartbeat heartbeat, Set<TaskAttempt> reported) {
    for (TaskAttempt attempt : List.copyOf(machine.attempts().values())) {
      if (attempt.stage() == Stage.PLANNED || reported.contains(attempt)) {
        continue;
      }
      if (attempt.startIncarnation() < heartbeat.incarnation()) {
        inventory.remove(attempt, AbsenceProof.LATER_INCARNATION);
      } else if (attempt.observed() || attempt.startToken() < heartbeat.fencingToken()) {
        inventory.remove(attempt, AbsenceProof.NOT_REPORTED);
      }
    }
  }

  private void updateStage(TaskAttempt attempt, Heartbeat.Stage stage) {
    Stage before = attempt.stage();
    attempt.observe(
        switch (stage) {
          case FETCHING -> Stage.FETCHING;
          case WAITING -> Stage.WAITING_FOR_GANG;
          case CHECKPOINTING -> Stage.CHECKPOINTING;
          default -> Stage.RUNNING;
        });
    if (attempt.stage() == Stage.RUNNING && before != Stage.RUNNING) {
      LOG.debug(
          "event=running term={} machine={} task={} attempt={} since_submit_ms={} since_start_ms={}",
          leadership.term(),
          attempt.machine().name(),
          attempt.task(),
          attempt.number(),
          Duration.between(attempt.job().submittedAt(), clock.instant()).toMillis(),
          Duration.between(attempt.stageSince(), clock.instant()).toMillis());
      attempt
          .machine()
          .recordImageUse(attempt.job().spec().image(), attempt.job().spec().imageGb());
      Instant now = clock.instant();
      if (before.compareTo(Stage.RUNNING) < 0) {
        statistics.recordStart(Duration.between(attempt.stageSince(), now));
      }
      attempt.beginRunning(now);
    }
  }

  private void attributeEnd(Machine machine, Job job, TaskStatus status, TaskAttempt attempt) {
    if (job == null) {
      return;
    }
    switch (status.cause()) {
      case "done" -> {
        faultAttribution.noteSuccess(machine, job);
        if (!job.spec().isService() && !job.isDone(status.task().index())) {
          completeTask(job, status.task().index());
        }
      }
      case "error" -> {
        if (attempt != null) {
          faultAttribution.noteFailure(machine, job);
        }
      }
      case "stopped" -> {
        // As it was told.
      }
      case "alone", "mates_gone" -> gangs.noteBroken(job, status.attempt());
      default -> {
        if (attempt != null) {
          handleRefusedStart(machine, job, status);
        }
      }
    }
  }

  /** A task is done, for the first time as far as known here. */
  private void completeTask(Job job, int index) {
    if (job.spec().isGang()) {
      // Its tasks complete together: whoever shows it first decides for all.
      job.markAllDone();
      jobs.requeue(job);
      records.recordJobFinished(job);
      return;
    }
    TaskAttempt other = job.attempts().get(index);
    if (other != null) {
      inventory.stop(other);
    }
    job.markDone(index);
    jobs.requeue(job);
    if (job.isComplete()) {
      records.recordJobFinished(job);
    } else {
      records.recordTaskDone(job, index);
    }
  }

  /** The worker would not start the task: what is known of the machine or the job is wrong. */
  private void handleRefusedStart(Machine machine, Job job, TaskStatus status) {
    LOG.info(
        "event=start_refused term={} machine={} task={} attempt={} cause={}",
        leadership.term(),
        machine.name(),
        status.task(),
        status.attempt(),
        status.cause());
    Instant retryAt = clock.instant().plus(REFUSED_START_BACKOFF);
    if (status.cause().equals("no_such")) {
      job.failures().retryNotBefore(retryAt);
    } else {
      machine.failures().avoidUntil(retryAt);
    }
  }

  /** A machine that will be taken: saves what can be saved and moves what can't finish. */
  private void prepareForPreemption(Machine machine) {
    Instant now = clock.instant();
    Duration untilPreemption = Duration.between(now, machine.preemptionNoticeAt().orElse(now));
    for (TaskAttempt attempt : List.copyOf(machine.attempts().values())) {
      if (attempt.stopping()) {
        continue;
      }
      JobSpec spec = attempt.job().spec();
      boolean checkpoints = !spec.checkpointInterval().isZero();
      Duration elapsed = Duration.between(attempt.stageSince(), now);
      boolean running = attempt.stage() == Stage.RUNNING;
      Duration remaining =
          running ? spec.estimatedDuration().minus(elapsed) : spec.estimatedDuration();
      if (checkpoints
          ? untilPreemption.compareTo(spec.checkpointDuration().plusSeconds(4)) < 0 || !running
          : false) {
        termination.stop(attempt);
      } else if (spec.isService()
          || (!checkpoints && remaining.compareTo(untilPreemption.multipliedBy(2)) > 0)) {
        termination.stop(attempt);
      }
    }
  }
}
