package io.pearscale.sim;

import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.TaskId;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * Checks gangs against what agents did and which answers users got, independently of the
 * controllers and of {@link SimGangRendezvous}. The invariants: a task is on one machine at a time;
 * a single-zone gang is in one zone; one attempt runs at a time; a gang runs with all of its tasks
 * or not at all; a task completes under one attempt; no task remains after a confirmed cancel.
 */
final class GangInvariantChecker {
  /** How long an agent may take, beyond the timeouts of the protocol, to react and to exit. */
  static final Duration REACTION_ALLOWANCE = Duration.ofSeconds(2);

  private record TaskPresence(
      long attempt, String machine, String zone, Instant since, boolean running) {
    TaskPresence withSince(Instant now) {
      return new TaskPresence(attempt, machine, zone, now, running);
    }
  }

  private final Duration formingTimeout;
  private final Duration peerLossTimeout;
  private final Duration cancelTimeout;
  private final BiConsumer<String, String> violationHandler;
  private final Map<TaskId, TaskPresence> presentTasks = new LinkedHashMap<>();
  private final Map<String, JobSpec> jobs = new HashMap<>();
  private final Map<String, Instant> incompleteSince = new HashMap<>();
  private final Map<String, Instant> cancelledAt = new HashMap<>();
  private final Map<TaskId, Long> completedAttempts = new HashMap<>();
  private final Set<String> unresponsiveMachines = new HashSet<>();
  private final Set<String> reportedViolations = new HashSet<>();

  /**
   * Creates a checker without any tasks.
   *
   * @param violationHandler receives the rule and the details, once for each job and rule
   */
  GangInvariantChecker(
      Duration formingTimeout,
      Duration peerLossTimeout,
      Duration cancelTimeout,
      BiConsumer<String, String> violationHandler) {
    this.formingTimeout = formingTimeout;
    this.peerLossTimeout = peerLossTimeout;
    this.cancelTimeout = cancelTimeout;
    this.violationHandler = violationHandler;
  }

  private void reportViolation(String rule, String job, String details) {
    if (reportedViolations.add(rule + " " + job)) {
      violationHandler.accept(rule, job + " " + details);
    }
  }

  /** Records that a task has fetched its image and is present on its machine. */
  void taskArrived(
      JobSpec spec, TaskId task, long attempt, String machine, String zone, Instant now) {
    check(now);
    String job = spec.id();
    jobs.put(job, spec);
    TaskPresence previous =
        presentTasks.put(task, new TaskPresence(attempt, machine, zone, now, /* running= */ false));
    if (previous != null) {
      reportViolation("gang_task_twice", job, task + " on " + previous.machine + " and " + machine);
    }
    presentTasks.forEach(
        (other, otherRun) -> {
          if (spec.singleZone() && other.job().equals(job) && !otherRun.zone.equals(zone)) {
            reportViolation(
                "gang_in_two_zones",
                job,
                other + " in " + otherRun.zone + ", " + task + " in " + zone);
          }
        });
    updateIncomplete(job, now);
  }

  /** Records that a task starts to make progress. */
  void taskRunning(TaskId task, Instant now) {
    check(now);
    TaskPresence run = presentTasks.get(task);
    presentTasks.put(
        task, new TaskPresence(run.attempt, run.machine, run.zone, run.since, /* running= */ true));
    presentTasks.forEach(
        (other, otherRun) -> {
          boolean otherAttempt = otherRun.running && otherRun.attempt != run.attempt;
          if (otherAttempt && other.job().equals(task.job())) {
            reportViolation(
                "gang_under_two_attempts", task.job(), otherRun.attempt + " and " + run.attempt);
          }
        });
    updateIncomplete(task.job(), now);
  }

  /** Records that a machine executes nothing, so its tasks are not expected to exit. */
  void machineUnresponsive(String machine, Instant now) {
    check(now);
    unresponsiveMachines.add(machine);
    jobs.keySet().forEach(job -> updateIncomplete(job, now));
  }

  /** Records that a machine executes its tasks again. */
  void machineResumed(String machine, Instant now) {
    unresponsiveMachines.remove(machine);
    presentTasks.replaceAll((task, run) -> run.machine.equals(machine) ? run.withSince(now) : run);
    jobs.keySet().forEach(job -> updateIncomplete(job, now));
  }

  /** Records that a task is no longer on that machine. */
  void taskLeft(TaskId task, String machine, Instant now) {
    check(now);
    presentTasks.computeIfPresent(task, (t, run) -> run.machine.equals(machine) ? null : run);
    updateIncomplete(task.job(), now);
  }

  /** Records that a task has completed. */
  void taskCompleted(TaskId task, long attempt) {
    Long previousAttempt = completedAttempts.putIfAbsent(task, attempt);
    if (previousAttempt != null && previousAttempt != attempt) {
      reportViolation(
          "gang_done_twice", task.job(), task + " under " + previousAttempt + " and " + attempt);
    }
  }

  /** Records that the user got the confirmation of a cancel. */
  void cancelConfirmed(String job, Instant now) {
    cancelledAt.putIfAbsent(job, now);
  }

  /** Updates the time since which only a part of the tasks of a gang runs. */
  private void updateIncomplete(String job, Instant now) {
    long running = presentTasks.entrySet().stream().filter(e -> isRunning(e, job)).count();
    boolean incomplete = running > 0 && running < jobs.get(job).tasks();
    if (!incomplete) {
      incompleteSince.remove(job);
    } else {
      incompleteSince.putIfAbsent(job, now);
    }
  }

  private boolean isRunning(Map.Entry<TaskId, TaskPresence> entry, String job) {
    TaskPresence run = entry.getValue();
    return run.running
        && !unresponsiveMachines.contains(run.machine)
        && entry.getKey().job().equals(job);
  }

  /** Reports tasks that have waited, run incomplete or outlived a cancel for too long. */
  void check(Instant now) {
    presentTasks.forEach(
        (task, run) -> {
          boolean waiting = !run.running && !unresponsiveMachines.contains(run.machine);
          if (waiting && run.since.plus(formingTimeout).plus(REACTION_ALLOWANCE).isBefore(now)) {
            reportViolation("half_gang_waits", task.job(), task + " waits since " + run.since);
          }
          Instant confirmedAt = cancelledAt.get(task.job());
          if (confirmedAt != null
              && confirmedAt.plus(cancelTimeout).plus(REACTION_ALLOWANCE).isBefore(now)) {
            reportViolation("gang_after_cancel", task.job(), task + " on " + run.machine);
          }
        });
    incompleteSince.forEach(
        (job, since) -> {
          // The other members detect a loss within the timeout and then have as long to exit.
          if (since.plus(peerLossTimeout.multipliedBy(2)).plus(REACTION_ALLOWANCE).isBefore(now)) {
            reportViolation("half_gang_runs", job, "incomplete since " + since);
          }
        });
  }
}
