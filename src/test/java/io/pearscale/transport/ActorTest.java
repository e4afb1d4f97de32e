package io.pearscale.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A full mailbox refuses requests but still accepts all other messages. */
class ActorTest {
  private static final class RecordingActor extends Actor<String> {
    final List<String> received = new ArrayList<>();

    RecordingActor(EventLoop loop) {
      super(loop);
    }

    @Override
    protected void receive(String message) {
      received.add(message);
      if (message.equals("bad")) {
        throw new IllegalStateException("deliberate failure of the test");
      }
    }
  }

  private final CountingEventLoop loop = new CountingEventLoop();
  private final RecordingActor actor = new RecordingActor(loop);

  @Test
  void tellNeverDropsMessages() {
    for (int i = 0; i < Actor.MAILBOX_CAPACITY; i++) {
      assertTrue(actor.offer("request"));
    }
    assertFalse(actor.offer("one too many"));
    actor.tell("cancelled");
    loop.advance(Duration.ofSeconds(1));
    assertEquals(Actor.MAILBOX_CAPACITY + 1, actor.received.size());
    assertEquals("cancelled", actor.received.get(Actor.MAILBOX_CAPACITY));
  }

  @Test
  void requestsAreAcceptedAgainAfterTheMailboxDrains() {
    for (int i = 0; i <= Actor.MAILBOX_CAPACITY; i++) {
      actor.offer("request");
    }
    loop.advance(Duration.ofSeconds(1));
    assertTrue(actor.offer("request"));
  }

  @Test
  void failedMessageDoesNotStopTheActor() {
    actor.tell("bad");
    actor.tell("good");
    loop.advance(Duration.ofSeconds(1));
    assertEquals(List.of("bad", "good"), actor.received);
  }
}
