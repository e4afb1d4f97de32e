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

/** Compares packed responses with encoded trees, and limits what packing allocates. */
class HeartbeatResponseTest {
  private static final TaskId TASK = new TaskId("wk-000412", 4);

  /**
   * Between the measured allocations for a response without commands: 1.3 kB for encoding a tree
   * and half as much for packing bytes.
   */
  private static final long MAX_ALLOCATED_BYTES = 800;

  @Test
  void encodedBytesMatchTree() {
    List<AgentCommand> commands =
        List.of(
            AgentCommand.start(TASK, 1L << 40),
            AgentCommand.stop(TASK, 7, Duration.ofMillis(2500)),
            AgentCommand.forget(TASK, 3));
    var tree = MessagePack.map().put("baton", 50331649L);
    var commandList = tree.putArray("orders");
    commands.forEach(command -> commandList.add(command.toNode()));
    byte[] bytes = new HeartbeatResponse(200, 50331649L, commands).encode();
    JsonNode decoded = MessagePack.decode(bytes).orElseThrow();
    assertEquals(MessagePack.decode(MessagePack.encode(tree)).orElseThrow(), decoded);
  }

  @Test
  void encodingEmptyResponseAllocatesNoTree() {
    HeartbeatResponse response = new HeartbeatResponse(200, 50331649L, List.of());
    ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    response.encode();
    long before = threads.getCurrentThreadAllocatedBytes();
    for (int i = 0; i < 100; i++) {
      response.encode();
    }
    long bytesPerResponse = (threads.getCurrentThreadAllocatedBytes() - before) / 100;
    assertTrue(
        bytesPerResponse < MAX_ALLOCATED_BYTES,
        "bytes allocated per response: " + bytesPerResponse);
  }
}
