package io.pearscale.scheduler.model;

import java.time.Instant;
import java.util.Optional;

/**
 * Whether what the leader says reaches a machine, and what the machine says reaches the leader: the
 * two are kept apart, since either path may be down alone.
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

  /** When the machine last showed that what the leader says reaches it; MIN if it never did. */
  public Instant lastReachableAt() {
    return lastReachableAt;
  }

  /**
   * When the machine first answered a command since its last heartbeat; empty if it has not. Only
   * heartbeats renew its lease, so a machine that answers for long without one will lose its tasks.
   */
  public Optional<Instant> answersWithoutHeartbeatSince() {
    return answersWithoutHeartbeatSince;
  }

  /** Whether the machine has ever been heard of in this term or, by its record, before. */
  public boolean heartbeatEverReceived() {
    return heartbeatEverReceived;
  }

  /** Whether a command or a probe to the machine awaits its answer. */
  public boolean commandInFlight() {
    return commandInFlight;
  }

  /** Probes without an answer since the machine was last reached. */
  public int missedProbes() {
    return missedProbes;
  }

  /** No direct commands are sent before; MIN where nothing stands against them. */
  public Instant directCommandsAfter() {
    return directCommandsAfter;
  }

  /** A command or a probe is being sent. */
  public void commandSent() {
    commandInFlight = true;
  }

  /** The command under way was answered, or was given up. */
  public void commandEnded() {
    commandInFlight = false;
  }

  /** A probe got no answer. */
  public void probeMissed() {
    missedProbes++;
  }

  /** No direct commands are sent before that time. */
  public void pauseDirectCommandsUntil(Instant time) {
    directCommandsAfter = time;
  }

  /** A command was answered: unless a heartbeat comes, that counts from the first such answer. */
  public void commandAnswered(Instant now) {
    if (answersWithoutHeartbeatSince.isEmpty()) {
      answersWithoutHeartbeatSince = Optional.of(now);
    }
  }

  /** A heartbeat was received that renews the lease. */
  public void heartbeatAccepted() {
    answersWithoutHeartbeatSince = Optional.empty();
  }

  /**
   * A message of the machine was received.
   *
   * @return whether it is the first
   */
  public boolean messageReceived() {
    boolean first = !heartbeatEverReceived;
    heartbeatEverReceived = true;
    return first;
  }

  /** The machine has shown that what the leader says reaches it. */
  public void recordReachable(Instant now) {
    lastReachableAt = now;
    if (missedProbes > 0) {
      missedProbes = 0;
      directCommandsAfter = now;
    }
  }
}
