package io.pearscale.scheduler.records;

import io.pearscale.protocol.MessageFields;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/**
 * Limits the rate of a leader's commits. The interval after each commit is proportional to the
 * number of its mutations, with a minimum, so that the leader stays within its share of the store's
 * write rate.
 */
final class CommitPacer {
  /** Minimum interval between two commits. */
  private static final Duration MIN_COMMIT_INTERVAL = Duration.ofMillis(40);

  /** The leader's share of the write rate; the rest remains for users' requests. */
  private static final double LEADER_WRITE_SHARE = 0.5;

  private final InstantSource clock;
  private final double mutationsPerSecond;
  private Instant lastCommit = Instant.MIN;
  private int lastMutationCount;

  /**
   * Creates a pacer that allows a commit immediately.
   *
   * @param maxWritesPerSecond the store's write rate for all controllers, in mutations per second
   */
  CommitPacer(InstantSource clock, double maxWritesPerSecond) {
    this.clock = clock;
    this.mutationsPerSecond = LEADER_WRITE_SHARE * maxWritesPerSecond;
  }

  /** Records that a commit is sent now. */
  void recordCommit(int mutationCount) {
    lastCommit = clock.instant();
    lastMutationCount = mutationCount;
  }

  /** Returns the time until the next commit may be sent; zero or negative if it may be sent now. */
  Duration untilNextCommit() {
    if (lastCommit.equals(Instant.MIN)) {
      return Duration.ZERO;
    }
    Duration interval = MessageFields.duration(lastMutationCount / mutationsPerSecond);
    if (interval.compareTo(MIN_COMMIT_INTERVAL) < 0) {
      interval = MIN_COMMIT_INTERVAL;
    }
    return interval.minus(Duration.between(lastCommit, clock.instant()));
  }
}
