package io.pearscale.transport;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioWorker;

/** The listener for users, workers and health checks. */
public final class HttpServer {
  private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);
  private static final long MAX_BODY = 64 * 1024;

  /** What a request is answered with. */
  public record Response(int status, JsonNode body, Optional<Duration> retryAfter, boolean close) {
    /** A plain answer. */
    public static Response of(int status, JsonNode body) {
      return new Response(status, body, Optional.empty(), false);
    }

    /** A refusal that tells the client when to come back; given at once, never held. */
    public static Response later(Duration when, String why) {
      return new Response(
          503, MessagePack.map().put("error", why), Optional.of(when), /* close= */ true);
    }
  }

  /** Handles a request; the consumer must be given exactly one response, now or later. */
  public interface Handler {
    /** Called with the decoded body, or empty when it is absent or no MessagePack. */
    void handle(String method, String path, Optional<JsonNode> body, Consumer<Response> respond);
  }

  private final Undertow undertow;

  /** Prepares a server on the address, run by the worker. */
  public HttpServer(
      InetSocketAddress address,
      XnioWorker worker,
      ByteBufferPool buffers,
      int maxConnections,
      Handler handler) {
    undertow =
        Undertow.builder()
            .setWorker(worker)
            .setByteBufferPool(buffers)
            .addHttpListener(address.getPort(), address.getAddress().getHostAddress())
            .setSocketOption(org.xnio.Options.CONNECTION_HIGH_WATER, maxConnections)
            .setSocketOption(org.xnio.Options.CONNECTION_LOW_WATER, maxConnections)
            .setSocketOption(org.xnio.Options.BACKLOG, 256)
            .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAX_BODY)
            .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
            .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, 120_000)
            .setHandler(
                exchange ->
                    exchange.dispatch(
                        SameThreadExecutor.INSTANCE, () -> receive(exchange, handler)))
            .build();
  }

  /** Starts to listen. */
  public void start() {
    undertow.start();
  }

  /** Stops to listen. */
  public void stop() {
    undertow.stop();
  }

  private static void receive(HttpServerExchange exchange, Handler handler) {
    // A body that comes in several pieces is handed over inside a call of Undertow's, which ends
    // the exchange with an empty 200 when it returns: each callback must leave that call first.
    exchange
        .getRequestReceiver()
        .receiveFullBytes(
            (ex, bytes) ->
                ex.dispatch(SameThreadExecutor.INSTANCE, () -> handle(ex, bytes, handler)),
            (ex, e) ->
                ex.dispatch(
                    SameThreadExecutor.INSTANCE,
                    () ->
                        respond(
                            ex,
                            new Response(
                                400,
                                MessagePack.map().put("error", "body unreadable or over 64 KiB"),
                                Optional.empty(),
                                true))));
  }

  private static void handle(HttpServerExchange exchange, byte[] bytes, Handler handler) {
    Optional<JsonNode> body = bytes.length == 0 ? Optional.empty() : MessagePack.decode(bytes);
    try {
      handler.handle(
          exchange.getRequestMethod().toString(),
          exchange.getRequestPath(),
          body,
          response -> respond(exchange, response));
    } catch (RuntimeException e) {
      // A user must never see a trace, whatever the request did to us.
      LOG.error("event=request_failed path={}", exchange.getRequestPath(), e);
      respond(exchange, Response.later(Duration.ofSeconds(1), "internal"));
    }
  }

  private static void respond(HttpServerExchange exchange, Response response) {
    if (exchange.isResponseStarted() || exchange.isComplete()) {
      return;
    }
    exchange.setStatusCode(response.status());
    response
        .retryAfter()
        .ifPresent(
            d ->
                exchange
                    .getResponseHeaders()
                    .put(Headers.RETRY_AFTER, Long.toString(Math.max(1, d.toSeconds()))));
    if (response.close()) {
      exchange.setPersistent(false);
    }
    byte[] bytes =
        response.body().isMissingNode() ? new byte[0] : MessagePack.encode(response.body());
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/msgpack");
    exchange.setResponseContentLength(bytes.length);
    exchange.getResponseSender().send(ByteBuffer.wrap(bytes));
  }
}
