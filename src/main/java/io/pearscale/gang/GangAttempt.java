package io.pearscale.gang;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The current attempt of a gang job, as known to the leader: a state machine over the stages of its
 * tasks. Agents identify an attempt only by its number, so a task that is lost before the gang runs
 * can be replaced under the same number. An attempt that loses a task later must end, and the next
 * attempt starts when all tasks of the ended one are proved to be absent.
 *
 * <p>Invariant: tasks of two attempts never continue together. If tasks of two attempts are found,
 * all of them are stopped.
 *
 * <p>After a failover, the new leader does not know the attempt of tasks that its predecessor
 * placed. It decides nothing for the gang until each of them is reported by a heartbeat or proved
 * to be absent.
 */
public final class GangAttempt {
  /** The phases of an attempt. */
  public enum Phase {
    /** No task is or may be present on any machine. */
    VACANT,
    /** Heartbeats have not yet reported all tasks that a previous leader started. */
    UNKNOWN,
    /** Tasks are being started, fetch their image, or wait for each other. */
    FORMING,
    /** All tasks run. */
    RUNNING,
    /** The attempt is ending: its tasks are being stopped. */
    ENDING
  }

  /** The next step for the gang. */
  public enum Action {
    /** Do nothing until the state changes. */
    NONE,
    /** Start all tasks under a new attempt number. */
    START,
    /** Start the missing tasks under the current attempt number. */
    COMPLETE,
    /** Stop all remaining tasks of the attempt immediately. */
    END
  }

  /** Time allowed for a replacement to fetch its image before the other tasks time out. */
  private static final Duration REPLACEMENT_FETCH_TIME = Duration.ofSeconds(5);

  private static final long NO_NUMBER = -1;

  private final int taskCount;
  private final Duration formationTimeout;
  private Phase phase = Phase.VACANT;
  private long number = NO_NUMBER;
  private Instant startedAt = Instant.MIN;
  private boolean broken;
  private int endedAttempts;

  /**
   * Creates the state of a gang that has no attempt.
   *
   * @param taskCount the number of tasks of the gang
   * @param formationTimeout how long a task waits for the others
   */
  public GangAttempt(int taskCount, Duration formationTimeout) {
    this.taskCount = taskCount;
    this.formationTimeout = formationTimeout;
  }

  /** Begins an attempt with the given number. */
  public void begin(long attempt, Instant now) {
    phase = Phase.FORMING;
    number = attempt;
    startedAt = now;
    broken = false;
  }

  /**
   * Records that a task of the given attempt has exited because it waited too long for the others
   * or because another task is lost. That attempt can no longer complete. Reports about any other
   * attempt are ignored.
   */
  public void markBroken(long attempt) {
    broken |= attempt == number;
  }

  /** Records that all tasks of the attempt are being stopped. */
  public void markEnding() {
    if (phase != Phase.VACANT) {
      phase = Phase.ENDING;
    }
  }

  /**
   * Updates the phase and returns the next step.
   *
   * @param members all tasks of the gang that are or may be present on a machine
   */
  public Action nextAction(Collection<Member> members, Instant now) {
    Phase previousPhase = phase;
    phase = phaseOf(members, now);
    endedAttempts += previousPhase == Phase.ENDING && phase == Phase.VACANT ? 1 : 0;
    return switch (phase) {
      case VACANT -> Action.START;
      case FORMING ->
          members.size() < taskCount && noneStopping(members) ? Action.COMPLETE : Action.NONE;
      case ENDING -> allStopping(members) ? Action.NONE : Action.END;
      default -> Action.NONE;
    };
  }

  private Phase phaseOf(Collection<Member> members, Instant now) {
    if (members.isEmpty()) {
      number = NO_NUMBER;
      broken = false;
      return Phase.VACANT;
    }
    if (phase == Phase.ENDING) {
      return phase;
    }
    if (!members.stream().allMatch(Member::isKnown)) {
      return Phase.UNKNOWN;
    }
    if (phase == Phase.UNKNOWN || phase == Phase.VACANT) {
      adopt(members, now);
    }
    boolean mixedAttempts = members.stream().anyMatch(member -> member.attempt() != number);
    if (broken || mixedAttempts) {
      return Phase.ENDING;
    }
    boolean complete = members.size() >= taskCount;
    if (phase == Phase.RUNNING || members.stream().anyMatch(m -> m.stage().hasStartedRunning())) {
      return complete ? Phase.RUNNING : Phase.ENDING;
    }
    return complete || now.isBefore(replacementDeadline()) ? Phase.FORMING : Phase.ENDING;
  }

  /** Adopts the attempt that a previous leader started. */
  private void adopt(Collection<Member> members, Instant now) {
    Set<Long> numbers = members.stream().map(Member::attempt).collect(Collectors.toSet());
    number = numbers.iterator().next();
    startedAt = now;
    phase = Phase.FORMING;
  }

  private Instant replacementDeadline() {
    return startedAt.plus(formationTimeout).minus(REPLACEMENT_FETCH_TIME);
  }

  private static boolean noneStopping(Collection<Member> members) {
    return members.stream().noneMatch(Member::stopping);
  }

  private static boolean allStopping(Collection<Member> members) {
    return members.stream().allMatch(Member::stopping);
  }

  /** Returns the phase as computed by the last update. */
  public Phase phase() {
    return phase;
  }

  /** Returns the attempt's number; empty if there is no attempt. */
  public Optional<Long> number() {
    return number == NO_NUMBER ? Optional.empty() : Optional.of(number);
  }

  /** Returns how many attempts have ended without completing the job. */
  public int endedAttempts() {
    return endedAttempts;
  }
}
