package io.pearscale.protocol;

import java.io.IOException;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/**
 * The response to an agent's heartbeat.
 *
 * @param status the HTTP status: 200 renews the agent's lease, any other status does not
 * @param fencingToken the fencing token of all commands; the agent's next heartbeat confirms its
 *     receipt
 * @param commands the commands that the agent executes, in this order
 */
public record HeartbeatResponse(int status, long fencingToken, List<AgentCommand> commands) {
  /** The default buffer of the library is many times as large as a response. */
  private static final MessagePack.PackerConfig PACKER =
      new MessagePack.PackerConfig().withBufferSize(128);

  /** The response while no controller that may act as leader is reachable. */
  public static final HeartbeatResponse UNAVAILABLE = new HeartbeatResponse(503, 0, List.of());

  /**
   * Encodes the response body for the agent. Most responses contain no command, so the body is
   * packed directly into bytes instead of building a tree.
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
      throw new IllegalStateException("failed to pack a heartbeat response in memory", e);
    }
  }
}
