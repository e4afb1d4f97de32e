package io.pearscale.scheduler.model;

import java.time.Instant;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;

/**
 * Attempts that an agent reports in addition to those that the leader expects on its machine: ended
 * attempts, which the agent lists until it receives the command to forget them, and unknown
 * attempts, which must be stopped. Each message of the agent replaces both sets.
 *
 * <p>Owned by its {@link Machine}; written while messages of the agent are handled.
 */
public final class ReportedAttempts {
  /** The attempts that the preceding message reported. */
  public record PreviousReport(Map<AttemptId, Long> ended, Map<AttemptId, Instant> unknown) {}

  private final Map<AttemptId, Long> ended = new HashMap<>();
  private final Map<AttemptId, Long> endedView = Collections.unmodifiableMap(ended);
  private final Map<AttemptId, Instant> unknown = new HashMap<>();
  private final Map<AttemptId, Instant> unknownView = Collections.unmodifiableMap(unknown);

  /**
   * Returns the ended attempts, each with an upper bound for the fencing tokens of its start
   * commands.
   */
  public Map<AttemptId, Long> ended() {
    return endedView;
  }

  /**
   * Returns the unknown attempts, each with the time at which a stop was last sent, or {@link
   * Instant#MIN} if none was.
   */
  public Map<AttemptId, Instant> unknown() {
    return unknownView;
  }

  /**
   * Clears the attempts before a message that lists all of them is processed.
   *
   * @return the attempts that the preceding message reported
   */
  public PreviousReport takePreviousReport() {
    PreviousReport previous = new PreviousReport(new HashMap<>(ended), new HashMap<>(unknown));
    clear();
    return previous;
  }

  /** Adds an ended attempt that the message lists; keeps the token bound recorded for it before. */
  public void addEnded(AttemptId attempt, long startToken, PreviousReport previous) {
    ended.put(attempt, previous.ended.getOrDefault(attempt, startToken));
  }

  /** Adds an attempt that the message lists but that must not be on the machine. */
  public void addUnknown(AttemptId attempt, PreviousReport previous) {
    unknown.put(attempt, previous.unknown.getOrDefault(attempt, Instant.MIN));
  }

  /** Records that stops for all unknown attempts are being sent. */
  public void recordUnknownStopsSent(Instant now) {
    unknown.replaceAll((attempt, sent) -> now);
  }

  /** Clears the attempts, because every task on the machine has ended. */
  void clear() {
    ended.clear();
    unknown.clear();
  }
}
