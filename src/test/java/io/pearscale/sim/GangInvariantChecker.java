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
 * Checks gangs against what workers did and what users were told, without a look at any controller
 * or at how the stand-in makes gangs meet: nowhere twice, in one zone where that is asked for,
 * under one attempt at a time, whole or not at all, done once, gone after a confirmed cancel.
 */
final class GangInvariantChecker {
  /** What a worker may take beyond the times of the protocol to notice and to exit. */
  static final Duration SLACK = Duration.ofSeconds(2);

  private record TaskRun(
      long attempt, String machine, String zone, Instant since, boolean running) {
    TaskRun from(Instant now) {
      return new TaskRun(attempt, machine, zone, now, running);
    }
  }

  private final Duration forming;
  private final Duration peerLoss;
  private final Duration cancel;
  private final BiConsumer<String, String> breaks;
  private final Map<TaskId, TaskRun> present = new LinkedHashMap<>();
  private final Map<String, JobSpec> jobs = new HashMap<>();
  private final Map<String, Instant> incompleteSince = new HashMap<>();
  private final Map<String, Instant> cancelled = new HashMap<>();
  private final Map<TaskId, Long> doneUnder = new HashMap<>();
  private final Set<String> still = new HashSet<>();
  private final Set<String> found = new HashSet<>();

  /**
   * Knows of nothing yet.
   *
   * @param breaks is told the rule and what broke it, once for each job and rule
   */
  GangInvariantChecker(
      Duration forming, Duration peerLoss, Duration cancel, BiConsumer<String, String> breaks) {
    this.forming = forming;
    this.peerLoss = peerLoss;
    this.cancel = cancel;
    this.breaks = breaks;
  }

  private void breaks(String rule, String job, String what) {
    if (found.add(rule + " " + job)) {
      breaks.accept(rule, job + " " + what);
    }
  }

  /** A task has its image, and is on its machine from now on. */
  void arrives(JobSpec spec, TaskId task, long attempt, String machine, String zone, Instant now) {
    check(now);
    String job = spec.id();
    jobs.put(job, spec);
    TaskRun before =
        present.put(task, new TaskRun(attempt, machine, zone, now, /* running= */ false));
    if (before != null) {
      breaks("gang_task_twice", job, task + " on " + before.machine + " and " + machine);
    }
    present.forEach(
        (other, run) -> {
          if (spec.singleZone() && other.job().equals(job) && !run.zone.equals(zone)) {
            breaks(
                "gang_in_two_zones", job, other + " in " + run.zone + ", " + task + " in " + zone);
          }
        });
    note(job, now);
  }

  /** A task makes progress from now on. */
  void runs(TaskId task, Instant now) {
    check(now);
    TaskRun run = present.get(task);
    present.put(
        task, new TaskRun(run.attempt, run.machine, run.zone, run.since, /* running= */ true));
    present.forEach(
        (other, its) -> {
          boolean otherAttempt = its.running && its.attempt != run.attempt;
          if (otherAttempt && other.job().equals(task.job())) {
            breaks("gang_under_two_attempts", task.job(), its.attempt + " and " + run.attempt);
          }
        });
    note(task.job(), now);
  }

  /** A machine executes nothing: nobody expects its tasks to exit. */
  void standsStill(String machine, Instant now) {
    check(now);
    still.add(machine);
    jobs.keySet().forEach(job -> note(job, now));
  }

  /** A machine executes its tasks again. */
  void goesOn(String machine, Instant now) {
    still.remove(machine);
    present.replaceAll((task, run) -> run.machine.equals(machine) ? run.from(now) : run);
    jobs.keySet().forEach(job -> note(job, now));
  }

  /** A task is gone from that machine. */
  void leaves(TaskId task, String machine, Instant now) {
    check(now);
    present.computeIfPresent(task, (t, run) -> run.machine.equals(machine) ? null : run);
    note(task.job(), now);
  }

  /** A task has completed. */
  void completes(TaskId task, long attempt) {
    Long before = doneUnder.putIfAbsent(task, attempt);
    if (before != null && before != attempt) {
      breaks("gang_done_twice", task.job(), task + " under " + before + " and " + attempt);
    }
  }

  /** The user was told that the job is cancelled. */
  void cancelIsConfirmed(String job, Instant now) {
    cancelled.putIfAbsent(job, now);
  }

  /** From when on a gang, some tasks of which run, lacks others. */
  private void note(String job, Instant now) {
    long running = present.entrySet().stream().filter(e -> isRunning(e, job)).count();
    boolean incomplete = running > 0 && running < jobs.get(job).tasks();
    if (!incomplete) {
      incompleteSince.remove(job);
    } else {
      incompleteSince.putIfAbsent(job, now);
    }
  }

  private boolean isRunning(Map.Entry<TaskId, TaskRun> entry, String job) {
    TaskRun run = entry.getValue();
    return run.running && !still.contains(run.machine) && entry.getKey().job().equals(job);
  }

  /** Looks for what has stayed for too long. */
  void check(Instant now) {
    present.forEach(
        (task, run) -> {
          boolean waits = !run.running && !still.contains(run.machine);
          if (waits && run.since.plus(forming).plus(SLACK).isBefore(now)) {
            breaks("half_gang_waits", task.job(), task + " waits since " + run.since);
          }
          Instant asked = cancelled.get(task.job());
          if (asked != null && asked.plus(cancel).plus(SLACK).isBefore(now)) {
            breaks("gang_after_cancel", task.job(), task + " on " + run.machine);
          }
        });
    incompleteSince.forEach(
        (job, since) -> {
          // The loss is noticed within that time, and the others have as long to exit.
          if (since.plus(peerLoss.multipliedBy(2)).plus(SLACK).isBefore(now)) {
            breaks("half_gang_runs", job, "not whole since " + since);
          }
        });
  }
}
