package io.pearscale.scheduler.agents;

import io.pearscale.protocol.EndCause;
import io.pearscale.protocol.Heartbeat.TaskStatus;
import io.pearscale.scheduler.model.DecisionRecorder;
import io.pearscale.scheduler.model.GangTracker;
import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.JobTable;
import io.pearscale.scheduler.model.LeaderState;
import io.pearscale.scheduler.model.Leadership;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.MachineInventory;
import io.pearscale.scheduler.model.TaskAttempt;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Handles ended tasks by end cause: records completions and attributes failures. */
final class TaskEndHandler {
  private static final Logger LOG = LoggerFactory.getLogger(TaskEndHandler.class);

  /** How long the leader avoids a machine, or defers a job, after a refused start. */
  private static final Duration REFUSED_START_BACKOFF = Duration.ofSeconds(2);

  private final Leadership leadership;
  private final JobTable jobs;
  private final MachineInventory inventory;
  private final DecisionRecorder records;
  private final InstantSource clock;
  private final GangTracker gangs;
  private final FaultAttribution faultAttribution;

  TaskEndHandler(LeaderState state) {
    this.leadership = state.leadership();
    this.jobs = state.jobs();
    this.inventory = state.inventory();
    this.records = state.records();
    this.clock = state.clock();
    this.gangs = state.gangs();
    this.faultAttribution = new FaultAttribution(state);
  }

  /**
   * Handles the end of an attempt of an unfinished job. An agent lists an ended attempt until a
   * command makes the agent forget it, so this method may be called several times for one attempt.
   *
   * @param known the attempt, if the leader had recorded it for the machine until now; used to
   *     count failures and refused starts only once
   */
  void handle(
      Machine machine, Job job, TaskStatus status, EndCause cause, Optional<TaskAttempt> known) {
    switch (cause) {
      case COMPLETED -> {
        faultAttribution.recordSuccess(machine, job);
        if (!job.spec().isService() && !job.isDone(status.task().index())) {
          completeTask(job, status.task().index());
        }
      }
      case FAILED -> {
        if (known.isPresent()) {
          faultAttribution.recordFailure(machine, job);
        }
      }
      case STOPPED -> {
        // The attempt ended because of a stop command.
      }
      case GANG_BROKEN -> gangs.recordBroken(job, status.attempt());
      case UNKNOWN_TASK, START_REFUSED -> {
        if (known.isPresent()) {
          backOffRefusedStart(machine, job, status, cause);
        }
      }
      default -> throw new IllegalArgumentException("unsupported end cause: " + cause);
    }
  }

  /** Records the completion of a task that was not known to have completed. */
  private void completeTask(Job job, int index) {
    if (job.spec().isGang()) {
      // The tasks of a gang complete together, so the first reported completion counts for all.
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

  /**
   * Backs off after an agent refused a start, since the leader's data about the job or the machine
   * is out of date.
   */
  private void backOffRefusedStart(Machine machine, Job job, TaskStatus status, EndCause cause) {
    LOG.info(
        "event=start_refused term={} machine={} task={} attempt={} cause={}",
        leadership.term(),
        machine.name(),
        status.task(),
        status.attempt(),
        status.cause());
    Instant retryAt = clock.instant().plus(REFUSED_START_BACKOFF);
    if (cause == EndCause.UNKNOWN_TASK) {
      job.failures().retryNotBefore(retryAt);
    } else {
      machine.failures().avoidUntil(retryAt);
    }
  }
}
