package io.pearscale.scheduler.model;

import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.Settings.Team;
import java.util.HashMap;
import java.util.Map;

/**
 * Resources that teams use, compared with their quota limits and guaranteed quotas. Every attempt
 * that may be on a machine counts as used.
 */
public final class QuotaUsage {
  private static final double TOLERANCE = 1e-6;

  private static final class Usage {
    double cpus;
    double gpus;
  }

  private final Map<String, Team> teams;
  private final Map<String, Usage> usageByTeam = new HashMap<>();

  /** Creates an instance without any usage. */
  QuotaUsage(Map<String, Team> teams) {
    this.teams = teams;
  }

  private Usage usageOf(String team) {
    return usageByTeam.computeIfAbsent(team, t -> new Usage());
  }

  /** Adds the usage of the given number of tasks of the job; a number below 0 subtracts it. */
  public void charge(JobSpec spec, int tasks) {
    Usage usage = usageOf(spec.team());
    usage.cpus += tasks * spec.cpus();
    usage.gpus += tasks * spec.gpus();
  }

  /**
   * Returns how many more tasks of the job the team's limit allows, at most as many as the job has;
   * 0 if the team is not in the settings. A limit of 0 means unlimited.
   */
  public int tasksLeftWithinLimit(JobSpec spec) {
    Team team = teams.get(spec.team());
    if (team == null) {
      return 0;
    }
    Usage usage = usageOf(spec.team());
    double byCpus = tasksLeft(team.cpuLimit(), usage.cpus, spec.cpus());
    double byGpus = tasksLeft(team.gpuLimit(), usage.gpus, spec.gpus());
    return (int) Math.max(0, Math.min(Math.min(byCpus, byGpus), spec.tasks()));
  }

  private static double tasksLeft(double limit, double used, double perTask) {
    double left = limit - used + TOLERANCE;
    if (limit <= 0 || (perTask <= 0 && left >= 0)) {
      return Double.MAX_VALUE;
    }
    return perTask <= 0 ? 0 : left / perTask;
  }

  /** Returns whether the team has a guaranteed quota and one more task of the job is within it. */
  public boolean isWithinGuarantee(JobSpec spec) {
    return !exceedsGuarantee(spec.team(), spec.cpus(), spec.gpus());
  }

  /**
   * Returns whether the team is in the settings and uses more than its guaranteed quota. A team
   * without a guaranteed quota always does.
   */
  public boolean exceedsGuarantee(String team) {
    return teams.containsKey(team) && exceedsGuarantee(team, 0, 0);
  }

  private boolean exceedsGuarantee(String name, double cpus, double gpus) {
    Team team = teams.get(name);
    if (team == null || (team.guaranteedCpus() <= 0 && team.guaranteedGpus() <= 0)) {
      return true;
    }
    Usage usage = usageOf(name);
    return usage.cpus + cpus > team.guaranteedCpus() + TOLERANCE
        || usage.gpus + gpus > team.guaranteedGpus() + TOLERANCE;
  }
}
