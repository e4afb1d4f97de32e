package io.pearscale.scheduler.agents;

import io.pearscale.protocol.EndCause;
import io.pearscale.protocol.Heartbeat;
import io.pearscale.protocol.Heartbeat.TaskStatus;
import io.pearscale.scheduler.model.AbsenceProof;
import io.pearscale.scheduler.model.AttemptId;
import io.pearscale.scheduler.model.DecisionRecorder;
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
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Applies the statuses of tasks that a heartbeat lists to the attempts that the leader takes to be
 * on its machine.
 */
final class TaskStatusApplier {
  private static final Logger LOG = LoggerFactory.getLogger(TaskStatusApplier.class);

  /** In place of a start token: a completed task stays completed, so no token need exceed it. */
  private static final long COMPLETED_NEEDS_NO_TOKEN = -1;

  private final Leadership leadership;
  private final JobTable jobs;
  private final MachineInventory inventory;
  private final DecisionRecorder records;
  private final InstantSource clock;
  private final TaskEndHandler endHandler;
  private final LeaderStatistics statistics;

  /**
   * Makes an applier.
   *
   * @param endHandler handles why a task has ended
   */
  TaskStatusApplier(LeaderState state, TaskEndHandler endHandler, LeaderStatistics statistics) {
    this.leadership = state.leadership();
    this.jobs = state.jobs();
    this.inventory = state.inventory();
    this.records = state.records();
    this.clock = state.clock();
    this.endHandler = endHandler;
    this.statistics = statistics;
  }

  /**
   * Applies the status of an ended attempt, which the agent lists until it is told to forget it.
   */
  void applyEnded(
      Machine machine, Heartbeat heartbeat, TaskStatus status, ReportedAttempts.Previous previous) {
    Optional<TaskAttempt> known = knownAttempt(machine, heartbeat, status);
    EndCause cause = EndCause.fromWireName(status.cause());
    long startToken =
        cause == EndCause.COMPLETED
            ? COMPLETED_NEEDS_NO_TOKEN
            : known.map(TaskAttempt::startToken).orElse(machine.fencing().current());
    AttemptId id = new AttemptId(status.task(), status.attempt());
    machine.reportedAttempts().addEnded(id, startToken, previous);
    known.ifPresent(attempt -> inventory.remove(attempt, AbsenceProof.ENDED));
    jobOf(status).ifPresent(job -> endHandler.handle(machine, job, status, cause, known));
  }

  /**
   * Applies the status of an attempt that is present on the machine.
   *
   * @return the attempt; empty if it is unknown and has to be stopped
   */
  Optional<TaskAttempt> applyPresent(
      Machine machine, Heartbeat heartbeat, TaskStatus status, ReportedAttempts.Previous previous) {
    Optional<Job> job = jobOf(status);
    Optional<TaskAttempt> attempt = knownAttempt(machine, heartbeat, status);
    if (attempt.isEmpty() && job.isPresent() && !job.get().isDone(status.task().index())) {
      attempt = adopt(job.get(), machine, heartbeat, status);
    }
    if (attempt.isEmpty()) {
      AttemptId id = new AttemptId(status.task(), status.attempt());
      machine.reportedAttempts().addUnknown(id, previous);
    }
    attempt.ifPresent(present -> updateStage(present, status.stage()));
    return attempt;
  }

  /** The job of a listed task; empty when it is over or has no such task. */
  private Optional<Job> jobOf(TaskStatus status) {
    return Optional.ofNullable(jobs.get(status.task().job()))
        .filter(job -> status.task().index() < job.spec().tasks());
  }

  /** The listed attempt, if the leader knows it; one of a previous leader is identified by now. */
  private static Optional<TaskAttempt> knownAttempt(
      Machine machine, Heartbeat heartbeat, TaskStatus status) {
    TaskAttempt attempt = machine.attempts().get(status.task());
    if (attempt != null && !attempt.isIdentified()) {
      attempt.identify(status.attempt(), heartbeat.fencingToken(), heartbeat.incarnation());
    }
    return Optional.ofNullable(attempt).filter(known -> known.number() == status.attempt());
  }

  /**
   * Adopts an attempt that was not known to be here; empty if its task is known to be elsewhere.
   */
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

  private void updateStage(TaskAttempt attempt, Heartbeat.Stage reported) {
    Stage before = attempt.stage();
    attempt.observe(stageOf(reported));
    if (attempt.stage() == Stage.RUNNING && before != Stage.RUNNING) {
      noteRunning(attempt, before);
    }
  }

  private static Stage stageOf(Heartbeat.Stage reported) {
    return switch (reported) {
      case FETCHING -> Stage.FETCHING;
      case WAITING -> Stage.WAITING_FOR_GANG;
      case CHECKPOINTING -> Stage.CHECKPOINTING;
      default -> Stage.RUNNING;
    };
  }

  /** A heartbeat shows for the first time that the attempt runs, so the machine has its image. */
  private void noteRunning(TaskAttempt attempt, Stage before) {
    Instant now = clock.instant();
    Duration sinceStart = Duration.between(attempt.stageSince(), now);
    LOG.debug(
        "event=running term={} machine={} task={} attempt={} since_submit_ms={} since_start_ms={}",
        leadership.term(),
        attempt.machine().name(),
        attempt.task(),
        attempt.number(),
        Duration.between(attempt.job().submittedAt(), now).toMillis(),
        sinceStart.toMillis());
    attempt.machine().recordImageUse(attempt.spec().image(), attempt.spec().imageGb());
    if (before.compareTo(Stage.RUNNING) < 0) {
      statistics.recordStart(sinceStart);
    }
    attempt.beginRunning(now);
  }
}
