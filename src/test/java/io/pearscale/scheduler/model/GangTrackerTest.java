package io.pearscale.scheduler.model;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pearscale.protocol.Priority;
import io.pearscale.scheduler.autoscaling.ReplicaCapacityTest;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import org.junit.jupiter.api.Test;

/** The tracker must remove gangs whose jobs have ended. */
class GangTrackerTest {
  private static final InstantSource CLOCK = () -> Instant.EPOCH;
  private static final Duration RENEWAL_AUTHORITY_TIMEOUT = Duration.ofSeconds(14);
  private static final Duration FORMING_TIMEOUT = Duration.ofSeconds(40);

  private static Job job() {
    return new Job(ReplicaCapacityTest.replica(1, Priority.NORMAL), 0, Instant.EPOCH, false);
  }

  @Test
  void removesGangOfFinishedJob() {
    GangTracker gangs =
        new GangTracker(new Leadership(CLOCK, RENEWAL_AUTHORITY_TIMEOUT), CLOCK, FORMING_TIMEOUT);
    Job liveJob = job();
    Job finishedJob = job();
    gangs.beginAttempt(liveJob, 1);
    gangs.beginAttempt(finishedJob, 2);
    assertTrue(gangs.logFields().contains("gangs_forming=2"), gangs.logFields());
    gangs.remove(finishedJob);
    assertTrue(gangs.logFields().contains("gangs_forming=1"), gangs.logFields());
  }
}
