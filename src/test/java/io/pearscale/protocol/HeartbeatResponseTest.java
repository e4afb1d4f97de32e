package io.pearscale.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.management.ThreadMXBean;
import io.pearscale.transport.MessagePack;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

class HeartbeatResponseTest {
  private static final TaskId TASK = new TaskId("wk-000412", 4);

  /** Encoding the tree of a response without commands takes 1.3 kB, writing it half as much. */
  private static final long MOST_BYTES = 800;

  @Test
  void theBytesAreThoseOfTheTree() {
    List<AgentCommand> orders =
        List.of(
            AgentCommand.start(TASK, 1L << 40),
            AgentCommand.stop(TASK, 7, Duration.ofMillis(2500)),
            AgentCommand.forget(TASK, 3));
    var tree = MessagePack.map().put("baton", 50331649L);
    var list = tree.putArray("orders");
    orders.forEach(command -> list.add(command.toNode()));
    byte[] bytes = new HeartbeatResponse(200, 50331649L, orders).encode();
    JsonNode read = MessagePack.decode(bytes).orElseThrow();
    assertEquals(MessagePack.decode(MessagePack.encode(tree)).orElseThrow(), read);
  }

  @Test
  void encodingAResponseWithoutCommandsMakesNoTree() {
    HeartbeatResponse answer = new HeartbeatResponse(200, 50331649L, List.of());
    ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    answer.encode();
    long before = threads.getCurrentThreadAllocatedBytes();
    for (int i = 0; i < 100; i++) {
      answer.encode();
    }
    long each = (threads.getCurrentThreadAllocatedBytes() - before) / 100;
    assertTrue(each < MOST_BYTES, "allocated: " + each);
  }
}
