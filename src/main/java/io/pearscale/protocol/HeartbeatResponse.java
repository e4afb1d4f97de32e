package io.pearscale.protocol;

import java.io.IOException;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/**
 * What the leader has to say to a report.
 *
 * @param status 200 renews the worker's lease; anything else doesn't
 */
public record HeartbeatResponse(int status, long fencingToken, List<AgentCommand> commands) {
  /** The library's own buffer is many times as large as an answer. */
  private static final MessagePack.PackerConfig PACKER =
      new MessagePack.PackerConfig().withBufferSize(128);

  /** Nobody here may act for the controllers now. */
  public static final HeartbeatResponse UNAVAILABLE = new HeartbeatResponse(503, 0, List.of());

  /**
   * The body for the worker. Most answers carry no command; they are written straight to bytes, as
   * reports are read from them.
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
