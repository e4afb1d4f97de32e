package io.pearscale.transport;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.function.Consumer;
import org.xnio.channels.StreamSourceChannel;

/**
 * Reads the body of a request as a whole. Undertow's own receiver copies it byte by byte, which
 * took a sixth of the time of a controller whose code was not compiled yet.
 */
final class BodyReader {
  /** For a body whose length was not said. */
  private static final int FIRST_SIZE = 1024;

  private final Consumer<byte[]> whole;
  private final Consumer<IOException> failed;
  private byte[] bytes;
  private int length;

  private BodyReader(long declared, Consumer<byte[]> whole, Consumer<IOException> failed) {
    this.whole = whole;
    this.failed = failed;
    // One more than was said, so that the end is met without another buffer.
    this.bytes = new byte[declared >= 0 ? (int) declared + 1 : FIRST_SIZE];
  }

  /**
   * Reads to the end, now or when more has come.
   *
   * @param longest the longest body; a longer one fails
   */
  static void read(
      HttpServerExchange exchange,
      long longest,
      Consumer<byte[]> whole,
      Consumer<IOException> failed) {
    if (exchange.isRequestComplete()) {
      whole.accept(new byte[0]);
      return;
    }
    long declared = exchange.getRequestContentLength();
    if (declared > longest) {
      failed.accept(new IOException("body of " + declared + " bytes"));
      return;
    }
    new BodyReader(declared, whole, failed).readMore(exchange.getRequestChannel());
  }

  private void readMore(StreamSourceChannel channel) {
    try {
      int n = channel.read(ByteBuffer.wrap(bytes, length, bytes.length - length));
      while (n > 0) {
        length += n;
        if (length == bytes.length) {
          bytes = Arrays.copyOf(bytes, 2 * length);
        }
        n = channel.read(ByteBuffer.wrap(bytes, length, bytes.length - length));
      }
      if (n == 0) {
        channel.getReadSetter().set(this::readMore);
        channel.resumeReads();
        return;
      }
    } catch (IOException e) {
      channel.suspendReads();
      failed.accept(e);
      return;
    }
    channel.suspendReads();
    whole.accept(Arrays.copyOf(bytes, length));
  }
}
