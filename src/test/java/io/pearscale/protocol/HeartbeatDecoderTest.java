package io.pearscale.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.management.ThreadMXBean;
import io.pearscale.transport.MessagePack;
import java.lang.management.ManagementFactory;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.Test;

/** Compares heartbeats decoded from bytes with the same heartbeats parsed from trees. */
class HeartbeatDecoderTest {
  private static final int HEARTBEAT_COUNT = 2000;

  /**
   * Between the measured allocations per heartbeat: 3.1 kB for decoding bytes and 5.9 kB for a
   * tree.
   */
  private static final long MAX_ALLOCATED_BYTES = 4000;

  private final RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(11);

  private static ObjectNode heartbeat(int tasks) {
    ObjectNode heartbeat =
        MessagePack.map()
            .put("hive", "m-000231")
            .put("address", "10.1.0.232:9000")
            .put("breed", "g8")
            .put("yard", "a")
            .put("windfall", true)
            .put("stint", 1)
            .put("tally", 88)
            .put("baton", 50331649L)
            .putNull("warningS");
    var taskList = heartbeat.putArray("pieces");
    for (int i = 0; i < tasks; i++) {
      taskList.addObject().put("piece", "wk-000412/" + i).put("try", i).put("stage", "running");
    }
    return heartbeat;
  }

  private static Optional<Heartbeat> parseTree(byte[] body) {
    try {
      JsonNode tree =
          MessagePack.decode(body).orElseThrow(() -> new MalformedMessageException("none"));
      return Optional.of(Heartbeat.parse(tree));
    } catch (MalformedMessageException e) {
      return Optional.empty();
    }
  }

  private static Optional<Heartbeat> decodeBytes(byte[] body) {
    try {
      return Optional.of(HeartbeatDecoder.decode(body));
    } catch (MalformedMessageException e) {
      return Optional.empty();
    }
  }

  /** Changes a field so that it is missing, null, unknown, out of range or of another type. */
  private void mutateField(ObjectNode map) {
    var names = map.fieldNames();
    String name = names.next();
    for (int skip = random.nextInt(map.size()); skip > 0; skip--) {
      name = names.next();
    }
    switch (random.nextInt(9)) {
      case 0 -> map.remove(name);
      case 1 -> map.putNull(name);
      case 2 -> map.put(name, random.nextInt());
      case 3 -> map.put(name, random.nextDouble() * 50);
      case 4 -> map.put(name, "x".repeat(random.nextInt(250)));
      case 5 -> map.put(name, random.nextBoolean());
      case 6 -> map.put("unknown", random.nextInt()).putArray("more").addObject().put("a", 1);
      case 7 -> map.put(name, random.nextLong());
      default -> map.put("cause", "done").put("stage", "ended").put("warningS", 7);
    }
  }

  @Test
  void decodingBytesMatchesParsingTree() {
    int accepted = 0;
    for (int i = 0; i < HEARTBEAT_COUNT; i++) {
      ObjectNode heartbeat = heartbeat(random.nextInt(4));
      for (int n = random.nextInt(3); n > 0; n--) {
        JsonNode task = heartbeat.path("pieces").path(0);
        mutateField(task.isObject() && random.nextBoolean() ? (ObjectNode) task : heartbeat);
      }
      byte[] body = MessagePack.encode(heartbeat);
      assertEquals(parseTree(body), decodeBytes(body), heartbeat.toString());
      accepted += decodeBytes(body).isPresent() ? 1 : 0;
    }
    assertTrue(
        accepted > HEARTBEAT_COUNT / 10 && accepted < HEARTBEAT_COUNT,
        "accepted heartbeats: " + accepted);
  }

  @Test
  void corruptedBytesThrowOnlyMalformedMessage() {
    for (int i = 0; i < HEARTBEAT_COUNT; i++) {
      byte[] body = MessagePack.encode(heartbeat(2));
      for (int n = 1 + random.nextInt(4); n > 0; n--) {
        body[random.nextInt(body.length)] = (byte) random.nextInt();
      }
      byte[] truncated = java.util.Arrays.copyOf(body, random.nextInt(body.length));
      decodeBytes(body);
      decodeBytes(truncated);
    }
    assertThrows(MalformedMessageException.class, () -> HeartbeatDecoder.decode(new byte[0]));
    assertThrows(
        MalformedMessageException.class,
        () -> HeartbeatDecoder.decode(MessagePack.encode(MessagePack.map())));
  }

  @Test
  void decodingAllocatesNoTree() throws MalformedMessageException {
    byte[] body = MessagePack.encode(heartbeat(3));
    ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    HeartbeatDecoder.decode(body);
    long before = threads.getCurrentThreadAllocatedBytes();
    for (int i = 0; i < 100; i++) {
      HeartbeatDecoder.decode(body);
    }
    long bytesPerHeartbeat = (threads.getCurrentThreadAllocatedBytes() - before) / 100;
    assertTrue(
        bytesPerHeartbeat < MAX_ALLOCATED_BYTES,
        "bytes allocated per heartbeat: " + bytesPerHeartbeat);
  }
}
