package io.pearscale.protocol;

import java.io.IOException;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/**
 * The response to an agent's heartbeat.
 *
 * @param status the HTTP status: 200 renews the agent's lease, anything else doesn't
 * @param fencingToken carried by all of the commands; the next heartbeat shows that it was received
 * @param commands what the agent is to do, in this order
 */
public record HeartbeatResponse(int status, long fencingToken, List<AgentCommand> commands) {
  /** The library's own buffer is many times as large as a response. */
  private static final MessagePack.PackerConfig PACKER =
      new MessagePack.PackerConfig().withBufferSize(128);

  /** No controller that may act as the leader can be reached now. */
  public static final HeartbeatResponse UNAVAILABLE = new HeartbeatResponse(503, 0, List.of());

  /**
   * The body for the agent. Most responses carry no command; they are written straight to bytes, as
   * heartbeats are read from them.
   */
  public byte[] encode() {
    try (MessageBufferPacker out = PACKER.newBufferPacker()) {
      out.packMapHeader(2);
      out.packString("baton");
      out.packLong(fencingToken);
      out.packString("orders");
      out.packArrayHeader(commands.size());
      for (AgentCommand command : commands) {
        command.pack(out);
      }
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("memory does not fail", e);
    }
  }
}
