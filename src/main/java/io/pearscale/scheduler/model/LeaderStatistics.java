package io.pearscale.scheduler.model;

import io.pearscale.scheduler.model.TaskAttempt.Stage;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Figures for operators, and counts of tasks for users' questions. */
public final class LeaderStatistics {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderStatistics.class);
  private static final Duration LOG_INTERVAL = Duration.ofSeconds(60);

  /** Longer than that is recorded as that. */
  private static final long LONGEST_RECORDED_MS = 3_600_000;

  private final Leadership leadership;
  private final JobTable jobs;
  private final MachineInventory inventory;
  private final DecisionLog decisionLog;
  private final GangTracker gangs;
  private final Histogram startMillis = new Histogram(3);
  private final Histogram passMicros = new Histogram(3);
  private Instant nextLogAt = Instant.MIN;

  /** Creates empty statistics of the given leader. */
  public LeaderStatistics(LeaderState state) {
    this.leadership = state.leadership();
    this.jobs = state.jobs();
    this.inventory = state.inventory();
    this.decisionLog = state.decisions();
    this.gangs = state.gangs();
  }

  /** A task runs, so long after its start was decided. */
  public void recordStart(Duration afterDecision) {
    startMillis.recordValue(Math.max(0, Math.min(LONGEST_RECORDED_MS, afterDecision.toMillis())));
  }

  /** A pass took so long. */
  public void recordPass(Duration time) {
    passMicros.recordValue(Math.min(LONGEST_RECORDED_MS * 1000, time.toNanos() / 1000));
  }

  /** Logs the figures, unless that was done within a minute. */
  public void logIfDue(Instant now, Predicate<Machine> usable) {
    if (now.isAfter(nextLogAt)) {
      nextLogAt = now.plus(LOG_INTERVAL);
      log(now, usable);
      startMillis.reset();
      passMicros.reset();
    }
  }

  /** What an operator wants to see at a glance, once a minute. */
  private void log(Instant now, Predicate<Machine> usable) {
    int usableMachines = 0;
    int quarantined = 0;
    int avoided = 0;
    int[] stages = new int[Stage.values().length];
    int stopping = 0;
    double freeCpus = 0;
    for (Machine machine : inventory.all()) {
      if (usable.test(machine)) {
        usableMachines++;
        freeCpus += machine.available().cpus();
      }
      quarantined += machine.failures().isQuarantined() ? 1 : 0;
      avoided += now.isBefore(machine.failures().avoidUntil()) ? 1 : 0;
      for (TaskAttempt attempt : machine.attempts().values()) {
        stages[attempt.stage().ordinal()]++;
        stopping += attempt.stopping() ? 1 : 0;
      }
    }
    LOG.info(
        "event=figures term={} jobs={} waiting_tasks={} machines={} usable={} faulty={} avoided={}"
            + " free_cpus={} stages={} stopping={} start_ms_p50={} start_ms_p99={} pass_us_p50={}"
            + " pass_us_p99={} {} {}",
        leadership.term(),
        jobs.size(),
        jobs.all().stream().mapToInt(Job::pendingTasks).sum(),
        inventory.size(),
        usableMachines,
        quarantined,
        avoided,
        freeCpus,
        Arrays.toString(stages).replace(" ", ""),
        stopping,
        startMillis.getValueAtPercentile(50),
        startMillis.getValueAtPercentile(99),
        passMicros.getValueAtPercentile(50),
        passMicros.getValueAtPercentile(99),
        decisionLog.takeCounts(),
        gangs.logFields());
  }
}
