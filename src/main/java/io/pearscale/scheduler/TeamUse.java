package io.pearscale.scheduler;

import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.Settings.Team;
import java.util.HashMap;
import java.util.Map;

/** What teams have in use, all doubt counted as use, against their limits and guarantees. */
final class TeamUse {
  private static final double SLACK = 1e-6;

  private static final class Use {
    double cpus;
    double gpus;
  }

  private final Map<String, Team> teams;
  private final Map<String, Use> uses = new HashMap<>();

  /** Nothing is in use. */
  TeamUse(Map<String, Team> teams) {
    this.teams = teams;
  }

  private Use of(String team) {
    return uses.computeIfAbsent(team, t -> new Use());
  }

  /** Notes so many more tasks as in use, or fewer. */
  void charge(JobSpec spec, int tasks) {
    Use use = of(spec.team());
    use.cpus += tasks * spec.cpus();
    use.gpus += tasks * spec.gpus();
  }

  /**
   * How many more tasks like these the team's limit allows. A limit of 0 means that there is none.
   */
  int leftWithinLimit(JobSpec spec) {
    Team team = teams.get(spec.team());
    if (team == null) {
      return 0;
    }
    Use use = of(spec.team());
    double byCpus = left(team.cpuLimit(), use.cpus, spec.cpus());
    double byGpus = left(team.gpuLimit(), use.gpus, spec.gpus());
    return (int) Math.max(0, Math.min(Math.min(byCpus, byGpus), spec.tasks()));
  }

  private static double left(double limit, double used, double each) {
    double room = limit - used + SLACK;
    if (limit <= 0 || (each <= 0 && room >= 0)) {
      return Double.MAX_VALUE;
    }
    return each <= 0 ? 0 : room / each;
  }

  /** Whether the team knows a guarantee, and one more task like these is within it. */
  boolean isGuaranteed(JobSpec spec) {
    return !isBeyondGuarantee(spec.team(), spec.cpus(), spec.gpus());
  }

  /** Whether a team of the settings has more in use than it is guaranteed. */
  boolean isBeyondGuarantee(String team) {
    return teams.containsKey(team) && isBeyondGuarantee(team, 0, 0);
  }

  private boolean isBeyondGuarantee(String name, double cpus, double gpus) {
    Team team = teams.get(name);
    if (team == null || (team.guaranteedCpus() <= 0 && team.guaranteedGpus() <= 0)) {
      return true;
    }
    Use use = of(name);
    return use.cpus + cpus > team.guaranteedCpus() + SLACK
        || use.gpus + gpus > team.guaranteedGpus() + SLACK;
  }
}
