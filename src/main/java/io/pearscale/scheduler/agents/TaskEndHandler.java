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

/** Handles why tasks have ended: completes them, or attributes their failure. */
final class TaskEndHandler {
  private static final Logger LOG = LoggerFactory.getLogger(TaskEndHandler.class);

  /** For so long nothing is started on a machine, or of a job, of which a start was refused. */
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
   * Handles the end of an attempt of a job that is not over. An agent lists an ended attempt until
   * it is told to forget it, so the same end may be handled several times.
   *
   * @param known the attempt, when it was known until now to be on the machine: failures and
   *     refused starts count only once
   */
  void handle(
      Machine machine, Job job, TaskStatus status, EndCause cause, Optional<TaskAttempt> known) {
    switch (cause) {
      case COMPLETED -> {
        faultAttribution.noteSuccess(machine, job);
        if (!job.spec().isService() && !job.isDone(status.task().index())) {
          completeTask(job, status.task().index());
        }
      }
      case FAILED -> {
        if (known.isPresent()) {
          faultAttribution.noteFailure(machine, job);
        }
      }
      case STOPPED -> {
        // As it was commanded.
      }
      case GANG_BROKEN -> gangs.recordBroken(job, status.attempt());
      case UNKNOWN_TASK, START_REFUSED -> {
        if (known.isPresent()) {
          backOffRefusedStart(machine, job, status, cause);
        }
      }
      default -> throw new IllegalArgumentException("end cause: " + cause);
    }
  }

  /** A task completed, for the first time as far as known here. */
  private void completeTask(Job job, int index) {
    if (job.spec().isGang()) {
      // Its tasks complete together: whichever is shown first decides for all.
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

  /** An agent refused a start: what is known of the machine, or of the job, is out of date. */
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
