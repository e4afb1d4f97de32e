package io.pearscale.transport;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.function.Consumer;

/**
 * Sends HTTP requests. The client never sends a request twice; retries are the responsibility of
 * the caller.
 */
public interface HttpClient {
  /**
   * Sends a request.
   *
   * @param body the body to send; a missing node for no body
   * @param onReply receives exactly one reply, at the latest when the timeout expires
   */
  void call(
      String address,
      String method,
      String path,
      JsonNode body,
      Duration timeout,
      Consumer<Reply> onReply);

  /**
   * A response, or the absence of one.
   *
   * @param status the HTTP status, or 0 without a response; unless {@link #notSent} is true, such a
   *     request may have been executed or may still be executed
   */
  record Reply(int status, JsonNode body) {
    /** No response was received. */
    public static final Reply NO_RESPONSE = new Reply(0, MessagePack.MISSING);

    /** The request was not sent and will not be executed, because no socket was available. */
    public static final Reply NOT_SENT = new Reply(0, MessagePack.map());

    /**
     * Returns whether the request was not sent. Identity distinguishes this reply from a response
     * with equal content.
     */
    @SuppressWarnings("ReferenceEquality")
    public boolean notSent() {
      return this == NOT_SENT;
    }

    /** Returns whether the request succeeded with status 200. */
    public boolean ok() {
      return status == 200;
    }
  }
}
