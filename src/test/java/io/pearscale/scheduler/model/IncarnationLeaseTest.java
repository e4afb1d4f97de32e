package io.pearscale.scheduler.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pearscale.protocol.Heartbeat;
import io.pearscale.scheduler.model.IncarnationLease.Basis;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class IncarnationLeaseTest {
  private static final Instant START = Instant.EPOCH;
  private static final Duration EXPIRY_BOUND = Duration.ofSeconds(17);
  private final IncarnationLease lease = new IncarnationLease();

  private static Instant at(long seconds) {
    return START.plusSeconds(seconds);
  }

  private static Heartbeat message(long incarnation, long sequence) {
    return new Heartbeat(
        "m-1", "", "small", "a", false, incarnation, sequence, 0, Optional.empty(), List.of());
  }

  @Test
  void leaseIsNeitherHeldNorExpiredBeforeFirstMessage() {
    assertEquals(Basis.NONE, lease.basis());
    assertFalse(lease.isExpired(at(1000), EXPIRY_BOUND));
    assertFalse(lease.isHeld(START, EXPIRY_BOUND));
    assertTrue(lease.isNewer(message(1, 1)));
  }

  @Test
  void firstMessageOfEachIncarnationStartsItsLease() {
    assertTrue(lease.observe(message(1, 1), at(0)));
    assertFalse(lease.observe(message(1, 2), at(10)));
    assertTrue(lease.isExpired(at(18), EXPIRY_BOUND));
    assertTrue(lease.observe(message(2, 3), at(18)));
    assertFalse(lease.isExpired(at(35), EXPIRY_BOUND));
    assertTrue(lease.isExpired(at(36), EXPIRY_BOUND));
    assertEquals(Basis.INCARNATION_OBSERVED, lease.basis());
  }

  @Test
  void leaseAfterEndedIncarnationStartsAtFirstMessage() {
    lease.observe(message(1, 1), at(0));
    lease.renew(at(2));
    assertTrue(lease.isExpired(at(20), EXPIRY_BOUND));
    lease.endIncarnation();
    assertEquals(2, lease.incarnation());
    assertFalse(lease.isNewer(message(1, 9)));
    assertTrue(lease.isNewer(message(2, 10)));
    assertTrue(lease.observe(message(2, 10), at(21)));
    assertFalse(lease.isExpired(at(38), EXPIRY_BOUND));
    assertTrue(lease.isExpired(at(39), EXPIRY_BOUND));
  }

  @Test
  void repeatedAndOlderMessagesAreNotNewer() {
    lease.observe(message(3, 5), at(0));
    assertFalse(lease.isNewer(message(3, 5)));
    assertFalse(lease.isNewer(message(2, 6)));
    assertTrue(lease.isNewer(message(3, 6)));
    assertTrue(lease.isNewer(message(4, 1)));
  }

  @Test
  void recordedIncarnationIsNotObserved() {
    lease.setMinimumIncarnation(4);
    lease.extendForPreviousLeaders(at(14));
    assertEquals(4, lease.incarnation());
    assertFalse(lease.isNewer(message(3, 9)));
    // All previous leaders have ended, so the lease counts from the first message.
    assertTrue(lease.observe(message(4, 1), at(20)));
    assertFalse(lease.isExpired(at(37), EXPIRY_BOUND));
    assertTrue(lease.isExpired(at(38), EXPIRY_BOUND));
  }

  @Test
  void previousLeadersExtendLeaseUntilTheyEnd() {
    lease.setMinimumIncarnation(1);
    lease.extendForPreviousLeaders(at(14));
    lease.observe(message(1, 1), at(3));
    assertEquals(Basis.PREVIOUS_LEADERS, lease.basis());
    assertFalse(lease.isExpired(at(31), EXPIRY_BOUND));
    assertEquals(Duration.ofSeconds(9), lease.endPreviousLeaders(at(5)));
    assertTrue(lease.isExpired(at(23), EXPIRY_BOUND));
    assertEquals(Duration.ZERO, lease.endPreviousLeaders(at(20)));
    assertTrue(lease.isExpired(at(23), EXPIRY_BOUND));
  }

  /** Guards against a late report that shortens the lease which previous leaders may renew. */
  @Test
  void heartbeatResponseDoesNotEndRenewalsByPreviousLeaders() {
    lease.extendForPreviousLeaders(at(14));
    lease.observe(message(1, 8), at(1));
    lease.renew(at(1));
    assertEquals(Basis.PREVIOUS_LEADERS, lease.basis());
    assertTrue(lease.isHeld(at(29), Duration.ofSeconds(16)));
    assertFalse(lease.isExpired(at(31), EXPIRY_BOUND));
    assertTrue(lease.isExpired(at(32), EXPIRY_BOUND));
    lease.renew(at(15));
    assertEquals(Basis.HEARTBEAT_RESPONSE, lease.basis());
    assertFalse(lease.isExpired(at(32), EXPIRY_BOUND));
    assertTrue(lease.isExpired(at(33), EXPIRY_BOUND));
  }

  @Test
  void heartbeatResponseRenewsLease() {
    lease.observe(message(1, 1), at(0));
    lease.renew(at(10));
    assertEquals(Basis.HEARTBEAT_RESPONSE, lease.basis());
    assertTrue(lease.isHeld(at(20), Duration.ofSeconds(16)));
    assertEquals(Duration.ofSeconds(10), lease.age(at(20)));
    assertFalse(lease.isExpired(at(27), EXPIRY_BOUND));
    assertTrue(lease.isExpired(at(28), EXPIRY_BOUND));
  }
}
