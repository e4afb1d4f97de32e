package io.pearscale.gang;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The present attempt of a gang job, as its leader knows it: a state machine over the stages of its
 * tasks. Agents tell an attempt by its number alone, so a task that is lost before the others run
 * may be replaced under the same number; after that an attempt that lost a task is over, and the
 * next one begins when the last of its tasks is proved to be absent.
 *
 * <p>Invariant: tasks of two attempts never go on together. When they are found together, both are
 * ended.
 *
 * <p>A new leader finds tasks whose attempt it does not know. It concludes nothing before each of
 * them has been shown by a heartbeat or proved to be absent.
 */
public final class GangAttempt {
  /** The phases of an attempt. */
  public enum Phase {
    /** No task is, or may be, on any machine. */
    VACANT,
    /** Tasks that a previous leader started have yet to be shown. */
    UNKNOWN,
    /** Tasks are being started, fetch images and wait for each other. */
    FORMING,
    /** All tasks run. */
    RUNNING,
    /** The attempt is over, and its tasks are being stopped. */
    ENDING
  }

  /** What is to be done for the gang. */
  public enum Action {
    /** Wait. */
    NONE,
    /** Start all tasks, under a new number. */
    START,
    /** Start the missing tasks, under the attempt's number. */
    COMPLETE,
    /** Stop at once all that is left of the attempt. */
    END
  }

  /** A replacement needs so long to fetch its image before the others give up waiting. */
  private static final Duration REPLACEMENT_FETCH_TIME = Duration.ofSeconds(5);

  private static final long NO_NUMBER = -1;

  private final int taskCount;
  private final Duration formingTimeout;
  private Phase phase = Phase.VACANT;
  private long number = NO_NUMBER;
  private Instant startedAt = Instant.MIN;
  private boolean broken;
  private int endedAttempts;

  /**
   * Makes a gang without an attempt.
   *
   * @param taskCount how many tasks it has
   * @param formingTimeout how long a task waits for the others
   */
  public GangAttempt(int taskCount, Duration formingTimeout) {
    this.taskCount = taskCount;
    this.formingTimeout = formingTimeout;
  }

  /** A new attempt begins under that number. */
  public void begin(long attempt, Instant now) {
    phase = Phase.FORMING;
    number = attempt;
    startedAt = now;
    broken = false;
  }

  /**
   * A task of the attempt of that number has exited: it waited for the others for too long, or one
   * of them is gone. That attempt can't complete any more; of other attempts nothing follows.
   */
  public void markBroken(long attempt) {
    broken |= attempt == number;
  }

  /** All tasks of the attempt are being stopped. */
  public void markEnding() {
    if (phase != Phase.VACANT) {
      phase = Phase.ENDING;
    }
  }

  /**
   * What is to be done now.
   *
   * @param members all tasks of the gang that are, or may be, on a machine
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

  /** Adopts the attempt that a previous leader has started. */
  private void adopt(Collection<Member> members, Instant now) {
    Set<Long> numbers = members.stream().map(Member::attempt).collect(Collectors.toSet());
    number = numbers.iterator().next();
    startedAt = now;
    phase = Phase.FORMING;
  }

  private Instant replacementDeadline() {
    return startedAt.plus(formingTimeout).minus(REPLACEMENT_FETCH_TIME);
  }

  private static boolean noneStopping(Collection<Member> members) {
    return members.stream().noneMatch(Member::stopping);
  }

  private static boolean allStopping(Collection<Member> members) {
    return members.stream().allMatch(Member::stopping);
  }

  /** The phase in which the attempt was when it was last looked at. */
  public Phase phase() {
    return phase;
  }

  /** The attempt's number; empty when there is no attempt. */
  public Optional<Long> number() {
    return number == NO_NUMBER ? Optional.empty() : Optional.of(number);
  }

  /** How many attempts of the job have ended without completing it. */
  public int endedAttempts() {
    return endedAttempts;
  }
}
