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
    /** Tasks that are down at once. */
    MAX_UNAVAILABLE("most-down"),
    /** The share of all tasks that are down at once. */
    MAX_UNAVAILABLE_SHARE("most-down-share"),
    /** Tasks that stay up. */
    MIN_AVAILABLE("least-up"),
    /** Seconds of work, not saved, that are lost by what is down at once. */
    MAX_LOST_WORK_SECONDS("most-lost-s");

    private final String text;

    Kind(String text) {
      this.text = text;
    }

    /** Its name in files and messages. */
    public String text() {
      return text;
    }

    /** The kind of that name. */
    public static Optional<Kind> parse(String text) {
      for (Kind kind : values()) {
        if (kind.text.equals(text)) {
          return Optional.of(kind);
        }
      }
      return Optional.empty();
    }
  }

  /**
   * What a group of tasks is like.
   *
   * @param total tasks that should run
   * @param unavailable those that do not, or are about to be stopped
   * @param lostWork the work that is lost with them
   */
  public record Availability(int total, int unavailable, Duration lostWork) {
    /** No tasks. */
    public static final Availability NONE = new Availability(0, 0, Duration.ZERO);

    /** With another group of tasks. */
    public Availability plus(Availability other) {
      return new Availability(
          total + other.total, unavailable + other.unavailable, lostWork.plus(other.lostWork));
    }
  }

  /** In place of a team's name: each team that has no budget of its own. */
  public static final String ANY_TEAM = "*";

  /** A default's budget for one team. */
  DisruptionBudget forTeam(String name) {
    return new DisruptionBudget(name, jobClass, kind, amount);
  }

  /** Whether it is meant for teams without a budget of their own. */
  boolean isDefault() {
    return team.equals(ANY_TEAM);
  }

  /** Whether the budget is for tasks of that team and class. */
  public boolean covers(String ofTeam, String ofClass) {
    return team.equals(ofTeam) && jobClass.map(c -> c.equals(ofClass)).orElse(true);
  }

  /** Why a load is more than the budget allows; empty if it is not. */
  public Optional<String> objection(Availability availability) {
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
            kind.text,
            amount == Math.rint(amount) ? Long.toString((long) amount) : Double.toString(amount));
  }
}
