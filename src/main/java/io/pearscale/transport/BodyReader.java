package io.pearscale.transport;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.function.Consumer;
import org.xnio.channels.StreamSourceChannel;

/**
 * Reads the entire body of a request. Undertow's own receiver copies it byte by byte, which took a
 * sixth of the time of a controller whose code was not yet JIT-compiled.
 */
final class BodyReader {
  /** The initial buffer size if the request does not declare the length of its body. */
  private static final int INITIAL_CAPACITY = 1024;

  private final Consumer<byte[]> onComplete;
  private final Consumer<IOException> onFailure;
  private byte[] bytes;
  private int length;

  private BodyReader(
      long contentLength, Consumer<byte[]> onComplete, Consumer<IOException> onFailure) {
    this.onComplete = onComplete;
    this.onFailure = onFailure;
    // One byte more than declared, so that the end of the stream is detected without growing the
    // buffer.
    this.bytes = new byte[contentLength >= 0 ? (int) contentLength + 1 : INITIAL_CAPACITY];
  }

  /**
   * Reads the body up to its end, immediately or as more bytes arrive.
   *
   * @param maxLength the maximum declared length of the body in bytes; a body without a declared
   *     length is limited by the server option {@code MAX_ENTITY_SIZE}
   */
  static void read(
      HttpServerExchange exchange,
      long maxLength,
      Consumer<byte[]> onComplete,
      Consumer<IOException> onFailure) {
    if (exchange.isRequestComplete()) {
      onComplete.accept(new byte[0]);
      return;
    }
    long contentLength = exchange.getRequestContentLength();
    if (contentLength > maxLength) {
      onFailure.accept(
          new IOException(
              "request body of " + contentLength + " bytes exceeds the maximum length"));
      return;
    }
    new BodyReader(contentLength, onComplete, onFailure).readMore(exchange.getRequestChannel());
  }

  private void readMore(StreamSourceChannel channel) {
    try {
      int count = channel.read(ByteBuffer.wrap(bytes, length, bytes.length - length));
      while (count > 0) {
        length += count;
        if (length == bytes.length) {
          bytes = Arrays.copyOf(bytes, 2 * length);
        }
        count = channel.read(ByteBuffer.wrap(bytes, length, bytes.length - length));
      }
      if (count == 0) {
        channel.getReadSetter().set(this::readMore);
        channel.resumeReads();
        return;
      }
    } catch (IOException e) {
      channel.suspendReads();
      onFailure.accept(e);
      return;
    }
    channel.suspendReads();
    onComplete.accept(Arrays.copyOf(bytes, length));
  }
}
