package io.pearscale.scheduler.model;

import io.pearscale.scheduler.model.TaskAttempt.Stage;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Statistics of the leader, logged once a minute for operators. */
public final class LeaderStatistics {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderStatistics.class);
  private static final Duration LOG_INTERVAL = Duration.ofSeconds(60);

  /** The maximum value of the histograms; longer durations are recorded as this value. */
  private static final long MAX_RECORDED_MS = 3_600_000;

  private final Leadership leadership;
  private final JobTable jobs;
  private final MachineInventory inventory;
  private final DecisionLog decisionLog;
  private final GangTracker gangs;
  private final Histogram startMillis = new Histogram(3);
  private final Histogram passMicros = new Histogram(3);
  private Instant nextLogAt = Instant.MIN;

  /** Creates empty statistics for the given leader. */
  public LeaderStatistics(LeaderState state) {
    this.leadership = state.leadership();
    this.jobs = state.jobs();
    this.inventory = state.inventory();
    this.decisionLog = state.decisions();
    this.gangs = state.gangs();
  }

  /**
   * Records the time between the decision to start a task and the first heartbeat that reported it
   * running.
   */
  public void recordStartLatency(Duration sinceDecision) {
    startMillis.recordValue(Math.max(0, Math.min(MAX_RECORDED_MS, sinceDecision.toMillis())));
  }

  /** Records the duration of a scheduling pass. */
  public void recordPassDuration(Duration duration) {
    passMicros.recordValue(Math.min(MAX_RECORDED_MS * 1000, duration.toNanos() / 1000));
  }

  /**
   * Logs the statistics unless they were logged within the last minute.
   *
   * @param usable tests whether a machine can take tasks now
   */
  public void logIfDue(Instant now, Predicate<Machine> usable) {
    if (now.isAfter(nextLogAt)) {
      nextLogAt = now.plus(LOG_INTERVAL);
      log(now, usable);
      startMillis.reset();
      passMicros.reset();
    }
  }

  private void log(Instant now, Predicate<Machine> usable) {
    Counts counts = count(now, usable);
    LOG.info(
        "event=statistics term={} jobs={} pending_tasks={} machines={} usable={} quarantined={}"
            + " avoided={} available_cpus={} stages={} stopping={} start_ms_p50={} start_ms_p99={}"
            + " pass_us_p50={} pass_us_p99={} {} token_increments={} {}",
        leadership.term(),
        jobs.size(),
        jobs.all().stream().mapToInt(Job::pendingTasks).sum(),
        inventory.size(),
        counts.usable,
        counts.quarantined,
        counts.avoided,
        counts.availableCpus,
        Arrays.toString(counts.attemptsByStage).replace(" ", ""),
        counts.stopping,
        startMillis.getValueAtPercentile(50),
        startMillis.getValueAtPercentile(99),
        passMicros.getValueAtPercentile(50),
        passMicros.getValueAtPercentile(99),
        decisionLog.takeCounts(),
        inventory.all().stream().mapToLong(machine -> machine.fencing().increments()).sum(),
        gangs.logFields());
  }

  private Counts count(Instant now, Predicate<Machine> usable) {
    Counts counts = new Counts();
    for (Machine machine : inventory.all()) {
      if (usable.test(machine)) {
        counts.usable++;
        counts.availableCpus += machine.available().cpus();
      }
      counts.quarantined += machine.failures().isQuarantined() ? 1 : 0;
      counts.avoided += now.isBefore(machine.failures().avoidUntil()) ? 1 : 0;
      for (TaskAttempt attempt : machine.attempts().values()) {
        counts.attemptsByStage[attempt.stage().ordinal()]++;
        counts.stopping += attempt.stopping() ? 1 : 0;
      }
    }
    return counts;
  }

  /** Counts of machines and of the attempts on them. */
  private static final class Counts {
    private final int[] attemptsByStage = new int[Stage.values().length];
    private int usable;
    private int quarantined;
    private int avoided;
    private int stopping;
    private double availableCpus;
  }
}
