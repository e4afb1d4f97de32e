package io.pearscale.sim;

import java.util.ArrayList;
import java.util.List;

/**
 * One row of the table of late copies: what became of an attempt, who made the agent forget it,
 * what was restarted within a second, and when a copy of the attempt's start reaches the agent.
 */
record LateCopyCase(
    Outcome outcome, JobState jobState, ForgottenBy forgottenBy, Restart restart, Arrival arrival) {
  /** What became of the attempt whose start is copied. */
  enum Outcome {
    /** The task completed; another task of its job keeps running. */
    COMPLETED,
    /** The task failed, as it does wherever it starts. */
    FAILED,
    /** The task was preempted, and no other machine has capacity for it. */
    STOPPED,
    /** The agent refused the start for want of resources. */
    REFUSED,
    /** The task was preempted and runs on the other machine. */
    MOVED,
    /** The start never arrived, and the task was withdrawn from the machine. */
    NEVER_LISTED,
    /** The agent lost the task, but neither its incarnation nor its fencing token. */
    VANISHED
  }

  /** What became of the attempt's job. */
  enum JobState {
    /** The job goes on. */
    LIVE,
    /** Its user cancelled it, and was told so. */
    CANCELLED
  }

  /** Who ended the agent's knowledge of the attempt. */
  enum ForgottenBy {
    /** The leader that started it. */
    THIS_LEADER,
    /** The next leader; the one before was cut off from the machine when the attempt ended. */
    NEXT_LEADER,
    /** The end of the agent's incarnation. */
    INCARNATION_END
  }

  /** What is back within a second before the copy arrives. */
  enum Restart {
    /** The process of the leader. */
    CONTROLLER,
    /** The machine; the leader's process stays away for longer if another leader takes over. */
    MACHINE,
    /** Both. */
    BOTH
  }

  /** When the copy arrives. */
  enum Arrival {
    /** Before the agent has accepted any message since the restart. */
    BEFORE_NEW_TOKEN,
    /** After the agent has accepted the next leader's token, or this leader's next response. */
    AFTER_NEW_TOKEN
  }

  /** Why a copy does no harm. */
  enum Guard {
    /** The agent has seen a higher token of the term in which the attempt was started. */
    TOKEN_OF_THIS_TERM,
    /** The agent has seen a token of the next term. */
    TOKEN_OF_NEXT_TERM,
    /** The copy names an incarnation that has ended. */
    LATER_INCARNATION,
    /** The agent still lists the attempt, so its start has no effect. */
    STILL_LISTED,
    /** The agent executes the copy, but the leader still counts the attempt as present there. */
    STILL_COUNTED,
    /** Nothing prevents the agent from executing it. */
    NONE
  }

  /** Returns all rows. */
  static List<LateCopyCase> all() {
    List<LateCopyCase> rows = new ArrayList<>();
    for (Outcome outcome : Outcome.values()) {
      for (JobState jobState : JobState.values()) {
        for (ForgottenBy forgottenBy : ForgottenBy.values()) {
          for (Restart restart : Restart.values()) {
            for (Arrival arrival : Arrival.values()) {
              rows.add(new LateCopyCase(outcome, jobState, forgottenBy, restart, arrival));
            }
          }
        }
      }
    }
    return rows;
  }

  /** Returns what must protect the task from the copy. */
  Guard requiredGuard() {
    return switch (forgottenBy) {
      case INCARNATION_END -> Guard.LATER_INCARNATION;
      case THIS_LEADER ->
          arrival == Arrival.AFTER_NEW_TOKEN && leaderChanges()
              ? Guard.TOKEN_OF_NEXT_TERM
              : Guard.TOKEN_OF_THIS_TERM;
      case NEXT_LEADER -> {
        if (arrival == Arrival.AFTER_NEW_TOKEN) {
          yield Guard.TOKEN_OF_NEXT_TERM;
        }
        yield isUnlisted() ? Guard.STILL_COUNTED : Guard.STILL_LISTED;
      }
    };
  }

  /** Returns whether another leader takes over before the copy arrives. */
  boolean leaderChanges() {
    return forgottenBy == ForgottenBy.NEXT_LEADER || restart != Restart.MACHINE;
  }

  /**
   * Returns whether the agent does not list the attempt even though nobody told it to forget it.
   */
  boolean isUnlisted() {
    return outcome == Outcome.NEVER_LISTED || outcome == Outcome.VANISHED;
  }

  /** Returns a name for the row's test. */
  String title() {
    return "%s, job %s, forgotten by %s, %s back, copy %s"
        .formatted(outcome, jobState, forgottenBy, restart, arrival);
  }
}
