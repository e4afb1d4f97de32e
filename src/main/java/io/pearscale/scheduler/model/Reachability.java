package io.pearscale.scheduler.model;

import java.time.Instant;
import java.util.Optional;

/**
 * Whether messages from the leader reach a machine, and whether messages from the machine reach the
 * leader. The two directions are tracked separately, because either can fail alone.
 *
 * <p>Owned by its {@link Machine}; written by the command dispatcher and while heartbeats are
 * handled.
 */
public final class Reachability {
  private Instant lastReachableAt = Instant.MIN;
  private Optional<Instant> answersWithoutHeartbeatSince = Optional.empty();
  private boolean heartbeatEverReceived;
  private boolean commandInFlight;
  private int missedProbes;
  private Instant directCommandsAfter = Instant.MIN;

  /**
   * Returns when the machine last showed that messages from the leader reach it, or {@link
   * Instant#MIN} if it never did.
   */
  public Instant lastReachableAt() {
    return lastReachableAt;
  }

  /**
   * Returns when the machine first answered a command after its last heartbeat, or empty if it has
   * not. Only heartbeats renew the lease, so a machine that answers for long without sending a
   * heartbeat loses its tasks.
   */
  public Optional<Instant> answersWithoutHeartbeatSince() {
    return answersWithoutHeartbeatSince;
  }

  /**
   * Returns whether a message from the machine was received in this term or, according to its
   * record, in an earlier one.
   */
  public boolean heartbeatEverReceived() {
    return heartbeatEverReceived;
  }

  /** Returns whether a command or a probe to the machine awaits its answer. */
  public boolean commandInFlight() {
    return commandInFlight;
  }

  /** Returns the number of unanswered probes since the machine was last reached. */
  public int missedProbes() {
    return missedProbes;
  }

  /**
   * Returns the time before which no direct commands are sent, or {@link Instant#MIN} if there is
   * no such restriction.
   */
  public Instant directCommandsAfter() {
    return directCommandsAfter;
  }

  /** Records that a command or a probe is being sent. */
  public void commandSent() {
    commandInFlight = true;
  }

  /** Records that the command in flight was answered or has been abandoned. */
  public void commandEnded() {
    commandInFlight = false;
  }

  /** Records an unanswered probe. */
  public void probeMissed() {
    missedProbes++;
  }

  /** Sets the time before which no direct commands are sent. */
  public void pauseDirectCommandsUntil(Instant time) {
    directCommandsAfter = time;
  }

  /** Records an answered command. Until a heartbeat arrives, only the first answer counts. */
  public void commandAnswered(Instant now) {
    if (answersWithoutHeartbeatSince.isEmpty()) {
      answersWithoutHeartbeatSince = Optional.of(now);
    }
  }

  /** Records a heartbeat that renews the lease. */
  public void heartbeatAccepted() {
    answersWithoutHeartbeatSince = Optional.empty();
  }

  /**
   * Records a message from the machine.
   *
   * @return whether it is the first message
   */
  public boolean messageReceived() {
    boolean first = !heartbeatEverReceived;
    heartbeatEverReceived = true;
    return first;
  }

  /** Records that the machine has shown that messages from the leader reach it. */
  public void recordReachable(Instant now) {
    lastReachableAt = now;
    if (missedProbes > 0) {
      missedProbes = 0;
      directCommandsAfter = now;
    }
  }
}
