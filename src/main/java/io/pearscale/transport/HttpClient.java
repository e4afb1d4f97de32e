package io.pearscale.transport;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.function.Consumer;

/** Outgoing HTTP requests. Nothing is ever sent twice by this layer: repeats are the caller's. */
public interface HttpClient {
  /**
   * Sends one request.
   *
   * @param body what to send, or a missing node for no body
   * @param onReply gets exactly one reply, at the latest when the timeout has passed
   */
  void call(
      String address,
      String method,
      String path,
      JsonNode body,
      Duration timeout,
      Consumer<Reply> onReply);

  /**
   * An answer, or the lack of one.
   *
   * @param status the HTTP status, or 0 when there was no answer: then the request may have been
   *     carried out, or may be carried out later
   */
  record Reply(int status, JsonNode body) {
    /** No answer came. */
    public static final Reply NO_RESPONSE = new Reply(0, MessagePack.MISSING);

    /** There was no socket for it. It was not sent, and will not be carried out. */
    public static final Reply NOT_SENT = new Reply(0, MessagePack.map());

    /** Whether the request never left this process: no answer of a host is equal to this one. */
    @SuppressWarnings("ReferenceEquality")
    public boolean notSent() {
      return this == NOT_SENT;
    }

    /** Whether the request was carried out. */
    public boolean ok() {
      return status == 200;
    }
  }
}
