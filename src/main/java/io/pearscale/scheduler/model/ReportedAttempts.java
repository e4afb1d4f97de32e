package io.pearscale.scheduler.model;

import java.time.Instant;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;

/**
 * Attempts that an agent reports beside those that the leader takes to be on its machine: ended
 * ones, which the agent lists until it is told to forget them, and unknown ones, which must be
 * stopped. Each message of the agent replaces both.
 *
 * <p>Owned by its {@link Machine}; written while messages of the agent are handled.
 */
public final class ReportedAttempts {
  /** What the message before had reported. */
  public record Previous(Map<AttemptId, Long> ended, Map<AttemptId, Instant> unknown) {}

  private final Map<AttemptId, Long> ended = new HashMap<>();
  private final Map<AttemptId, Long> endedView = Collections.unmodifiableMap(ended);
  private final Map<AttemptId, Instant> unknown = new HashMap<>();
  private final Map<AttemptId, Instant> unknownView = Collections.unmodifiableMap(unknown);

  /**
   * Ended attempts, each with a fencing token that no start command for it was above; below 0 for
   * one that is done, and stays done however often it is started.
   */
  public Map<AttemptId, Long> ended() {
    return endedView;
  }

  /** Unknown attempts, each with when a stop was last sent; MIN while none was. */
  public Map<AttemptId, Instant> unknown() {
    return unknownView;
  }

  /** A message is being taken in, which tells all anew. */
  public Previous beginMessage() {
    Previous previous = new Previous(new HashMap<>(ended), new HashMap<>(unknown));
    clear();
    return previous;
  }

  /** The message lists an ended attempt; what was noted of it before stands. */
  public void addEnded(AttemptId attempt, long startToken, Previous previous) {
    ended.put(attempt, previous.ended.getOrDefault(attempt, startToken));
  }

  /** The message lists an attempt that must not be there. */
  public void addUnknown(AttemptId attempt, Previous previous) {
    unknown.put(attempt, previous.unknown.getOrDefault(attempt, Instant.MIN));
  }

  /** Stops for all unknown attempts are being sent. */
  public void recordUnknownStopsSent(Instant now) {
    unknown.replaceAll((attempt, sent) -> now);
  }

  /** Nothing can be alive on the machine. */
  void clear() {
    ended.clear();
    unknown.clear();
  }
}
