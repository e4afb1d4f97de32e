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
 * Applies the task statuses in a heartbeat to the attempts that the leader has recorded for the
 * machine.
 */
final class TaskStatusApplier {
  private static final Logger LOG = LoggerFactory.getLogger(TaskStatusApplier.class);

  private final Leadership leadership;
  private final JobTable jobs;
  private final MachineInventory inventory;
  private final DecisionRecorder records;
  private final InstantSource clock;
  private final TaskEndHandler endHandler;
  private final LeaderStatistics statistics;

  /**
   * Creates an applier.
   *
   * @param endHandler handles the end causes of tasks
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
   * Applies the status of an ended attempt. The agent lists it until a command makes the agent
   * forget it. The status is not about a planned attempt with the same number, which was not
   * started yet.
   */
  void applyEnded(
      Machine machine,
      Heartbeat heartbeat,
      TaskStatus status,
      ReportedAttempts.PreviousReport previous) {
    Optional<TaskAttempt> known =
        knownAttempt(machine, heartbeat, status)
            .filter(attempt -> attempt.stage() != Stage.PLANNED);
    EndCause cause = EndCause.fromWireName(status.cause());
    long startToken = known.map(TaskAttempt::startToken).orElse(machine.fencing().current());
    AttemptId id = new AttemptId(status.task(), status.attempt());
    machine.reportedAttempts().addEnded(id, startToken, previous);
    known.ifPresent(attempt -> inventory.remove(attempt, AbsenceProof.ENDED));
    jobOf(status).ifPresent(job -> endHandler.handle(machine, job, status, cause, known));
  }

  /**
   * Applies the status of an attempt that is present on the machine.
   *
   * @return the attempt; empty if it is unknown and must be stopped
   */
  Optional<TaskAttempt> applyPresent(
      Machine machine,
      Heartbeat heartbeat,
      TaskStatus status,
      ReportedAttempts.PreviousReport previous) {
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

  /** Returns the job of a listed task; empty if the job has finished or has no such task. */
  private Optional<Job> jobOf(TaskStatus status) {
    return Optional.ofNullable(jobs.get(status.task().job()))
        .filter(job -> status.task().index() < job.spec().tasks());
  }

  /**
   * Returns the listed attempt, if the leader knows it. If a previous leader placed the task, the
   * heartbeat supplies the number of the attempt.
   */
  private static Optional<TaskAttempt> knownAttempt(
      Machine machine, Heartbeat heartbeat, TaskStatus status) {
    TaskAttempt attempt = machine.attempts().get(status.task());
    if (attempt != null && !attempt.isIdentified()) {
      attempt.identify(status.attempt(), heartbeat.fencingToken(), heartbeat.incarnation());
    }
    return Optional.ofNullable(attempt).filter(known -> known.number() == status.attempt());
  }

  /**
   * Adopts an attempt that the leader did not expect on this machine.
   *
   * @return the adopted attempt; empty if another attempt of the task may be present
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
      recordRunning(attempt, before);
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

  /**
   * Records that a heartbeat lists the attempt as running for the first time. This also shows that
   * the machine has the image.
   */
  private void recordRunning(TaskAttempt attempt, Stage before) {
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
      statistics.recordStartLatency(sinceStart);
    }
    attempt.beginRunning(now);
  }
}
