package io.pearscale.drain;

import io.pearscale.protocol.EnumNames;
import java.time.Duration;
import java.util.Optional;

/**
 * Limits how much of a team's work may be disrupted at once.
 *
 * @param team the team that the budget applies to; {@link #ANY_TEAM} for a default that applies
 *     separately to each team without a specific budget
 * @param jobClass the job class that the budget applies to; empty for all jobs of the team
 * @param kind the quantity that is limited
 * @param amount the limit: a number of tasks, a share of the tasks, or seconds
 */
public record DisruptionBudget(String team, Optional<String> jobClass, Kind kind, double amount) {
  /** The quantity that a budget limits. */
  public enum Kind {
    /** Maximum number of tasks that may be unavailable at once. */
    MAX_UNAVAILABLE("most-down"),
    /** Maximum share of all tasks that may be unavailable at once. */
    MAX_UNAVAILABLE_SHARE("most-down-share"),
    /** Minimum number of tasks that must stay available. */
    MIN_AVAILABLE("least-up"),
    /** Maximum seconds of work without checkpoints that may be lost at once. */
    MAX_LOST_WORK_SECONDS("most-lost-s");

    private final String configName;

    Kind(String configName) {
      this.configName = configName;
    }

    /** Returns the name of this kind in settings files and messages. */
    public String configName() {
      return configName;
    }

    /** Returns the kind with the given name; empty if there is none. */
    public static Optional<Kind> parse(String configName) {
      return EnumNames.find(values(), Kind::configName, configName);
    }
  }

  /**
   * The availability of a group of tasks.
   *
   * @param total number of tasks that should run
   * @param unavailable number of tasks that are not running or are about to be stopped
   * @param lostWork running time that the unavailable tasks lose
   */
  public record Availability(int total, int unavailable, Duration lostWork) {
    /** The availability of an empty group. */
    public static final Availability NONE = new Availability(0, 0, Duration.ZERO);

    /** Returns the combined availability of this group and another one. */
    public Availability plus(Availability other) {
      return new Availability(
          total + other.total, unavailable + other.unavailable, lostWork.plus(other.lostWork));
    }
  }

  /** Team name of a default budget, which applies to each team without a specific budget. */
  public static final String ANY_TEAM = "*";

  /** Returns this default budget for one team. */
  DisruptionBudget forTeam(String name) {
    return new DisruptionBudget(name, jobClass, kind, amount);
  }

  /** Returns whether this is a default for teams without a specific budget. */
  boolean isDefault() {
    return team.equals(ANY_TEAM);
  }

  /** Returns whether the budget applies to tasks of the given team and job class. */
  public boolean covers(String taskTeam, String taskJobClass) {
    return team.equals(taskTeam) && jobClass.map(c -> c.equals(taskJobClass)).orElse(true);
  }

  /** Returns why the budget does not allow the given availability; empty if it does. */
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
