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
  private static final Duration BOUND = Duration.ofSeconds(17);
  private final IncarnationLease lease = new IncarnationLease();

  private static Instant at(long seconds) {
    return START.plusSeconds(seconds);
  }

  private static Heartbeat message(long session, long sequence) {
    return new Heartbeat(
        "m-1", "", "small", "a", false, session, sequence, 0, Optional.empty(), List.of());
  }

  @Test
  void nothingIsKnownOfAMachineThatSaidNothing() {
    assertEquals(Basis.NONE, lease.basis());
    assertFalse(lease.isExpired(at(1000), BOUND));
    assertFalse(lease.isHeld(START, BOUND));
    assertTrue(lease.isNewer(message(1, 1)));
  }

  @Test
  void theFirstMessageOfEachSessionCountsItsLease() {
    assertTrue(lease.observe(message(1, 1), at(0)));
    assertFalse(lease.observe(message(1, 2), at(10)));
    assertTrue(lease.isExpired(at(18), BOUND));
    assertTrue(lease.observe(message(2, 3), at(18)));
    assertFalse(lease.isExpired(at(35), BOUND));
    assertTrue(lease.isExpired(at(36), BOUND));
    assertEquals(Basis.INCARNATION_OBSERVED, lease.basis());
  }

  @Test
  void theSessionAfterOneThatWasProvenOverCountsFromItsFirstMessage() {
    lease.observe(message(1, 1), at(0));
    lease.renew(at(2));
    assertTrue(lease.isExpired(at(20), BOUND));
    lease.endIncarnation();
    assertEquals(2, lease.incarnation());
    assertFalse(lease.isNewer(message(1, 9)));
    assertTrue(lease.isNewer(message(2, 10)));
    assertTrue(lease.observe(message(2, 10), at(21)));
    assertFalse(lease.isExpired(at(38), BOUND));
    assertTrue(lease.isExpired(at(39), BOUND));
  }

  @Test
  void onlyLaterMessagesAreNews() {
    lease.observe(message(3, 5), at(0));
    assertFalse(lease.isNewer(message(3, 5)));
    assertFalse(lease.isNewer(message(2, 6)));
    assertTrue(lease.isNewer(message(3, 6)));
    assertTrue(lease.isNewer(message(4, 1)));
  }

  @Test
  void aRecordedSessionIsNotAShownOne() {
    lease.acceptFromRecorded(4);
    lease.previousLeadersRenewUntil(at(14));
    assertEquals(4, lease.incarnation());
    assertFalse(lease.isNewer(message(3, 9)));
    // Its own lease counts from now when it is seen after all former leaders are over.
    assertTrue(lease.observe(message(4, 1), at(20)));
    assertFalse(lease.isExpired(at(37), BOUND));
    assertTrue(lease.isExpired(at(38), BOUND));
  }

  @Test
  void formerLeadersBoundTheLeaseUntilTheyAreKnownToHaveEnded() {
    lease.acceptFromRecorded(1);
    lease.previousLeadersRenewUntil(at(14));
    lease.observe(message(1, 1), at(3));
    assertEquals(Basis.PREVIOUS_LEADERS, lease.basis());
    assertFalse(lease.isExpired(at(31), BOUND));
    lease.previousLeadersEnded(at(5));
    assertTrue(lease.isExpired(at(23), BOUND));
    lease.previousLeadersEnded(at(20));
    assertTrue(lease.isExpired(at(23), BOUND));
  }

  @Test
  void anAnswerRenews() {
    lease.observe(message(1, 1), at(0));
    lease.renew(at(10));
    assertEquals(Basis.HEARTBEAT_RESPONSE, lease.basis());
    assertTrue(lease.isHeld(at(20), Duration.ofSeconds(16)));
    assertEquals(Duration.ofSeconds(10), lease.age(at(20)));
    assertFalse(lease.isExpired(at(27), BOUND));
    assertTrue(lease.isExpired(at(28), BOUND));
  }
}
