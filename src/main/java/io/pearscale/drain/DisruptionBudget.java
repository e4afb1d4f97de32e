package io.pearscale.drain;

import java.time.Duration;
import java.util.Optional;

/**
 * How much of a team's work may be disrupted at once.
 *
 * @param team whose work; {@link #ANY_TEAM}: that of each team without a budget of its own
 * @param jobClass the class of jobs that it is for; all of the team's if empty
 * @param kind what is bounded
 * @param amount the bound: tasks, a share of them, or seconds
 */
public record DisruptionBudget(String team, Optional<String> jobClass, Kind kind, double amount) {
  /** What a budget bounds. */
  public enum Kind {
    /** The most tasks that may be unavailable at once. */
    MAX_UNAVAILABLE("most-down"),
    /** The largest share of all tasks that may be unavailable at once. */
    MAX_UNAVAILABLE_SHARE("most-down-share"),
    /** The fewest tasks that must stay available. */
    MIN_AVAILABLE("least-up"),
    /** The most seconds of work without a checkpoint that may be lost at once. */
    MAX_LOST_WORK_SECONDS("most-lost-s");

    private final String configName;

    Kind(String configName) {
      this.configName = configName;
    }

    /** Its name in files and messages. */
    public String configName() {
      return configName;
    }

    /** The kind of that name. */
    public static Optional<Kind> parse(String configName) {
      for (Kind kind : values()) {
        if (kind.configName.equals(configName)) {
          return Optional.of(kind);
        }
      }
      return Optional.empty();
    }
  }

  /**
   * How many tasks of a group are available.
   *
   * @param total tasks that should run
   * @param unavailable those that do not run, or are about to be stopped
   * @param lostWork running time that is lost with them
   */
  public record Availability(int total, int unavailable, Duration lostWork) {
    /** No tasks. */
    public static final Availability NONE = new Availability(0, 0, Duration.ZERO);

    /** The sum with another group of tasks. */
    public Availability plus(Availability other) {
      return new Availability(
          total + other.total, unavailable + other.unavailable, lostWork.plus(other.lostWork));
    }
  }

  /** In place of a team's name: each team that has no budget of its own. */
  public static final String ANY_TEAM = "*";

  /** This default budget applied to one team. */
  DisruptionBudget forTeam(String name) {
    return new DisruptionBudget(name, jobClass, kind, amount);
  }

  /** Whether it is the default for teams without a budget of their own. */
  boolean isDefault() {
    return team.equals(ANY_TEAM);
  }

  /** Whether the budget covers tasks of that team and class. */
  public boolean covers(String taskTeam, String taskJobClass) {
    return team.equals(taskTeam) && jobClass.map(c -> c.equals(taskJobClass)).orElse(true);
  }

  /** Why the budget does not allow that availability; empty if it does. */
  public Optional<String> rejectionReason(Availability availability) {
    boolean allowed =
        switch (kind) {
          case MAX_UNAVAILABLE -> availability.unavailable <= amount;
          case MAX_UNAVAILABLE_SHARE -> availability.unavailable <= amount * availability.total;
          case MIN_AVAILABLE -> availability.total - availability.unavailable >= amount;
          case MAX_LOST_WORK_SECONDS -> availability.lostWork.toMillis() <= amount * 1000;
        };
    return allowed ? Optional.empty() : Optional.of(this + " allows no more");
  }

  @Override
  public String toString() {
    return "budget %s %s %s %s"
        .formatted(
            team,
            jobClass.orElse("*"),
            kind.configName,
            amount == Math.rint(amount) ? Long.toString((long) amount) : Double.toString(amount));
  }
}
