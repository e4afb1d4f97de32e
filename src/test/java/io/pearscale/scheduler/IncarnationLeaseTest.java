package io.pearscale.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pearscale.protocol.Heartbeat;
import io.pearscale.scheduler.IncarnationLease.Basis;
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
    assertFalse(lease.isOver(at(1000), BOUND));
    assertFalse(lease.isHeld(START, BOUND));
    assertTrue(lease.isNews(message(1, 1)));
  }

  @Test
  void theFirstMessageOfEachSessionCountsItsLease() {
    assertTrue(lease.shown(message(1, 1), at(0)));
    assertFalse(lease.shown(message(1, 2), at(10)));
    assertTrue(lease.isOver(at(18), BOUND));
    assertTrue(lease.shown(message(2, 3), at(18)));
    assertFalse(lease.isOver(at(35), BOUND));
    assertTrue(lease.isOver(at(36), BOUND));
    assertEquals(Basis.SESSION_SEEN, lease.basis());
  }

  @Test
  void theSessionAfterOneThatWasProvenOverCountsFromItsFirstMessage() {
    lease.shown(message(1, 1), at(0));
    lease.answered(at(2));
    assertTrue(lease.isOver(at(20), BOUND));
    lease.end();
    assertEquals(2, lease.session());
    assertFalse(lease.isNews(message(1, 9)));
    assertTrue(lease.isNews(message(2, 10)));
    assertTrue(lease.shown(message(2, 10), at(21)));
    assertFalse(lease.isOver(at(38), BOUND));
    assertTrue(lease.isOver(at(39), BOUND));
  }

  @Test
  void onlyLaterMessagesAreNews() {
    lease.shown(message(3, 5), at(0));
    assertFalse(lease.isNews(message(3, 5)));
    assertFalse(lease.isNews(message(2, 6)));
    assertTrue(lease.isNews(message(3, 6)));
    assertTrue(lease.isNews(message(4, 1)));
  }

  @Test
  void aRecordedSessionIsNotAShownOne() {
    lease.recorded(4);
    lease.formerLeadersRenewUntil(at(14));
    assertEquals(4, lease.session());
    assertFalse(lease.isNews(message(3, 9)));
    // Its own lease counts from now when it is seen after all former leaders are over.
    assertTrue(lease.shown(message(4, 1), at(20)));
    assertFalse(lease.isOver(at(37), BOUND));
    assertTrue(lease.isOver(at(38), BOUND));
  }

  @Test
  void formerLeadersBoundTheLeaseUntilTheyAreKnownToHaveEnded() {
    lease.recorded(1);
    lease.formerLeadersRenewUntil(at(14));
    lease.shown(message(1, 1), at(3));
    assertEquals(Basis.FORMER_LEADERS, lease.basis());
    assertFalse(lease.isOver(at(31), BOUND));
    lease.formerLeadersEnded(at(5));
    assertTrue(lease.isOver(at(23), BOUND));
    lease.formerLeadersEnded(at(20));
    assertTrue(lease.isOver(at(23), BOUND));
  }

  @Test
  void anAnswerRenews() {
    lease.shown(message(1, 1), at(0));
    lease.answered(at(10));
    assertEquals(Basis.ANSWER, lease.basis());
    assertTrue(lease.isHeld(at(20), Duration.ofSeconds(16)));
    assertEquals(Duration.ofSeconds(10), lease.age(at(20)));
    assertFalse(lease.isOver(at(27), BOUND));
    assertTrue(lease.isOver(at(28), BOUND));
  }
}
