package io.pearscale.scheduler.maintenance;

import io.pearscale.drain.Disruption;
import io.pearscale.drain.DisruptionBudget.Availability;
import io.pearscale.drain.DisruptionLedger;
import io.pearscale.drain.DisruptionLedger.Group;
import io.pearscale.drain.DrainPlanner.TaskView;
import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.protocol.TaskId;
import io.pearscale.scheduler.agents.CommandDispatcher;
import io.pearscale.scheduler.agents.GracefulTermination;
import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.JobTable;
import io.pearscale.scheduler.model.LeaderState;
import io.pearscale.scheduler.model.Leadership;
import io.pearscale.scheduler.model.TaskAttempt;
import io.pearscale.scheduler.model.TaskAttempt.Stage;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Updates the disruption ledger from the state of running tasks, and stops a task once its
 * voluntary disruption is durably recorded.
 *
 * <p>Invariant: no task is stopped voluntarily before its disruption is counted against the budgets
 * and durably recorded, so the next leader counts it as well.
 */
final class DisruptionTracker {
  private static final Logger LOG = LoggerFactory.getLogger(DisruptionTracker.class);

  private final Leadership leadership;
  private final JobTable jobs;
  private final Responsiveness responsiveness;
  private final GracefulTermination gracefulTermination;
  private final CommandDispatcher dispatcher;
  private final DisruptionLedger ledger;
  private final DisruptionRecords records;

  /**
   * Creates a tracker without disruptions, and subscribes it to the removal of attempts.
   *
   * @param maxValueBytes maximum size in bytes of a value that the store accepts
   */
  DisruptionTracker(
      LeaderState state,
      DisruptionLedger ledger,
      int maxValueBytes,
      Responsiveness responsiveness,
      GracefulTermination gracefulTermination,
      CommandDispatcher dispatcher) {
    this.leadership = state.leadership();
    this.jobs = state.jobs();
    this.responsiveness = responsiveness;
    this.gracefulTermination = gracefulTermination;
    this.dispatcher = dispatcher;
    this.ledger = ledger;
    this.records = new DisruptionRecords(maxValueBytes, state.records()::requestCommit, this::stop);
    state.inventory().onRemoved(this::handleRemoved);
  }

  /** Returns the stored records of voluntary disruptions. */
  DisruptionRecords records() {
    return records;
  }

  /** Loads the stored disruptions; if they can't be read, none is granted in this term. */
  void beginTerm() {
    try {
      ledger.beginTerm(records.beginTerm());
    } catch (MalformedMessageException e) {
      ledger.beginTerm(List.of());
      ledger.blockAll("what is disrupted can't be read: " + e.getMessage());
      LOG.error("event=disruptions_unreadable reason={}", e.getMessage());
    }
  }

  /** Closes disruptions of tasks that run again or have finished, and updates availability. */
  void update(Instant now) {
    closeFinished(now);
    ledger.updateAvailability(availabilityByGroup(now));
  }

  /**
   * Records the granted disruptions of a task and its gang; the tasks are stopped once these are
   * durable.
   */
  void record(TaskView task) {
    ledger.find(task.task()).ifPresent(records::record);
    task.gangMembers().forEach(member -> ledger.find(member).ifPresent(records::record));
  }

  /**
   * Requests the relocation of a replica from the disruption budgets. If granted, the replica is
   * stopped once its disruption is durable.
   *
   * @return whether the relocation is granted
   */
  boolean requestRelocation(TaskAttempt attempt) {
    Disruption disruption = disruption(attempt, /* voluntary= */ true);
    if (ledger.isDisrupted(attempt.task()) || ledger.trySpend(disruption).isPresent()) {
      return false;
    }
    records.record(disruption);
    return true;
  }

  private static Disruption disruption(TaskAttempt attempt, boolean voluntary) {
    return new Disruption(
        attempt.task(),
        attempt.job().spec().team(),
        attempt.job().spec().jobClass(),
        voluntary,
        Duration.ZERO);
  }

  /**
   * Stops the task of a durable disruption. A gang is stopped once the disruptions of all its tasks
   * are durable.
   */
  private void stop(Disruption disruption) {
    Optional<TaskAttempt> found = attemptOf(disruption.task());
    if (found.isEmpty() || found.get().stopping()) {
      return;
    }
    TaskAttempt attempt = found.get();
    if (gangMembersOf(attempt).stream().anyMatch(records::isPending)) {
      return;
    }
    LOG.info(
        "event=drain_stop term={} machine={} task={} attempt={}",
        leadership.term(),
        attempt.machine().name(),
        attempt.task(),
        attempt.number());
    gracefulTermination.stop(attempt);
    List.copyOf(attempt.job().attempts().values()).stream()
        .filter(stopped -> stopped.stopping())
        .forEach(stopped -> dispatcher.sendDueCommands(stopped.machine()));
  }

  /** Returns the other tasks of the attempt's gang; empty if the job is not a gang. */
  static List<TaskId> gangMembersOf(TaskAttempt attempt) {
    if (!attempt.job().spec().isGang()) {
      return List.of();
    }
    return attempt.job().attempts().values().stream()
        .filter(member -> member != attempt)
        .map(member -> member.task())
        .toList();
  }

  private Optional<TaskAttempt> attemptOf(TaskId task) {
    return Optional.ofNullable(jobs.get(task.job())).map(job -> job.attempts().get(task.index()));
  }

  /** Counts the removal as an involuntary disruption, so that voluntary ones wait for it. */
  private void handleRemoved(TaskAttempt attempt) {
    boolean wasRunning = attempt.stage() == Stage.RUNNING || attempt.stage() == Stage.CHECKPOINTING;
    if (wasRunning && jobs.contains(attempt.job()) && !attempt.job().spec().isService()) {
      ledger.recordInvoluntary(disruption(attempt, /* voluntary= */ false));
    }
  }

  private void closeFinished(Instant now) {
    List<Disruption> closed =
        ledger.closeIf(
            task -> {
              Job job = jobs.get(task.job());
              return job == null
                  || job.isDone(task.index())
                  || attemptOf(task).map(attempt -> isRunning(attempt, now)).orElse(false);
            });
    closed.stream().filter(Disruption::voluntary).forEach(records::remove);
  }

  /**
   * Returns whether the task was reported as running and is not about to be stopped. A machine
   * counts as responsive only after it has presented a fencing token of this term, because from
   * then on it rejects stop commands of previous leaders. A new leader treats the tasks of all
   * other machines as unavailable.
   */
  boolean isRunning(TaskAttempt attempt, Instant now) {
    return attempt.stage() == Stage.RUNNING
        && attempt.observed()
        && !attempt.stopping()
        && responsiveness.isResponsive(attempt.machine(), now)
        && !records.isPending(attempt.task());
  }

  private Map<Group, Availability> availabilityByGroup(Instant now) {
    Map<String, Integer> openByJob = new HashMap<>();
    ledger.openDisruptions().forEach(d -> openByJob.merge(d.task().job(), 1, Integer::sum));
    Map<Group, Availability> availability = new HashMap<>();
    for (Job job : jobs.all()) {
      if (!job.failures().failsEverywhere()) {
        Group group = new Group(job.spec().team(), job.spec().jobClass());
        int openCount = openByJob.getOrDefault(job.spec().id(), 0);
        availability.merge(group, availabilityOf(job, openCount, now), Availability::plus);
      }
    }
    for (Disruption disruption : ledger.openDisruptions()) {
      Group group = new Group(disruption.team(), disruption.jobClass());
      availability.merge(group, new Availability(0, 0, disruption.lostWork()), Availability::plus);
    }
    return availability;
  }

  /**
   * Computes the availability of a job. For a service, all configured replicas count. For a batch
   * job, only running and disrupted tasks count, because queued tasks are not unavailable.
   *
   * @param openCount number of tasks of the job with an open disruption
   */
  private Availability availabilityOf(Job job, int openCount, Instant now) {
    int running = 0;
    int stopping = 0;
    for (TaskAttempt attempt : job.attempts().values()) {
      boolean disrupted = ledger.isDisrupted(attempt.task());
      running += isRunning(attempt, now) && !disrupted ? 1 : 0;
      stopping += attempt.stopping() && !disrupted ? 1 : 0;
    }
    if (job.spec().isService()) {
      return new Availability(job.spec().tasks(), job.spec().tasks() - running, Duration.ZERO);
    }
    return new Availability(running + stopping + openCount, stopping + openCount, Duration.ZERO);
  }
}
