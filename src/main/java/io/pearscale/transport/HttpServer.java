package io.pearscale.transport;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.XnioWorker;

/**
 * Serves the HTTP requests of users, agents and health checks.
 *
 * <p>If there are more agents than sockets, for example while two of three controllers are
 * unreachable, persistent connections would permanently exclude all other agents: an agent without
 * a connection waits for seconds at each controller in turn while its lease expires. Above the
 * keep-alive limit, the server therefore closes connections to the configured paths, which are
 * requested only occasionally, after each response.
 */
public final class HttpServer {
  private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);
  private static final long MAX_BODY_BYTES = 64 * 1024;

  /**
   * The minimum length of the accept queue. All agents reconnect at once when a controller returns,
   * and a full queue drops connection attempts.
   */
  private static final int MIN_BACKLOG = 256;

  /** The response to a request. */
  public record Response(int status, Body body, Optional<Duration> retryAfter, boolean close) {
    /** Returns a response with a tree as its body. */
    public static Response of(int status, JsonNode body) {
      return new Response(status, Body.of(body), Optional.empty(), false);
    }

    /** Returns a response with an encoded body. */
    public static Response of(int status, byte[] body) {
      return new Response(status, Body.of(body), Optional.empty(), false);
    }

    /**
     * Returns a 503 response that tells the client when to retry. It is sent immediately and closes
     * the connection.
     */
    public static Response unavailable(Duration retryAfter, String reason) {
      return new Response(
          503,
          Body.of(MessagePack.map().put("error", reason)),
          Optional.of(retryAfter),
          /* close= */ true);
    }
  }

  /** Handles requests. Each request must receive exactly one response, immediately or later. */
  public interface Handler {
    /** Handles a request after its entire body has been received. */
    void handle(String method, String path, Body body, Consumer<Response> respond);
  }

  private static final Response UNREADABLE_BODY =
      new Response(
          400,
          Body.of(MessagePack.map().put("error", "body unreadable or over 64 KiB")),
          Optional.empty(),
          /* close= */ true);

  private static final AttachmentKey<Boolean> TRACKED = AttachmentKey.create(Boolean.class);

  private final Undertow undertow;
  private final int keepAliveLimit;
  private final Predicate<String> closedOverKeepAliveLimit;
  private int openConnections;

  /**
   * Creates a server that listens on the address and runs on the worker's threads.
   *
   * @param keepAliveLimit the number of open connections above which connections are closed
   * @param closedOverKeepAliveLimit selects the paths whose connections are closed above the limit
   */
  public HttpServer(
      InetSocketAddress address,
      XnioWorker worker,
      ByteBufferPool buffers,
      int maxConnections,
      int keepAliveLimit,
      Predicate<String> closedOverKeepAliveLimit,
      Handler handler) {
    this.keepAliveLimit = keepAliveLimit;
    this.closedOverKeepAliveLimit = closedOverKeepAliveLimit;
    undertow =
        Undertow.builder()
            .setWorker(worker)
            .setByteBufferPool(buffers)
            .addHttpListener(address.getPort(), address.getAddress().getHostAddress())
            .setSocketOption(org.xnio.Options.CONNECTION_HIGH_WATER, maxConnections)
            .setSocketOption(org.xnio.Options.CONNECTION_LOW_WATER, maxConnections)
            .setSocketOption(org.xnio.Options.BACKLOG, Math.max(MIN_BACKLOG, maxConnections))
            .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAX_BODY_BYTES)
            .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
            .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, 120_000)
            .setHandler(
                exchange ->
                    exchange.dispatch(
                        SameThreadExecutor.INSTANCE, () -> receive(exchange, handler)))
            .build();
  }

  /** Starts listening. */
  public void start() {
    undertow.start();
  }

  /** Stops listening. */
  public void stop() {
    undertow.stop();
  }

  /** Returns the number of open connections that have received at least one request. */
  public int openConnections() {
    return openConnections;
  }

  private void trackConnection(ServerConnection connection) {
    if (connection.getAttachment(TRACKED) == null) {
      connection.putAttachment(TRACKED, true);
      openConnections++;
      connection.addCloseListener(c -> openConnections--);
    }
  }

  private void receive(HttpServerExchange exchange, Handler handler) {
    trackConnection(exchange.getConnection());
    BodyReader.read(
        exchange,
        MAX_BODY_BYTES,
        bytes -> handle(exchange, bytes, handler),
        failure -> respond(exchange, UNREADABLE_BODY));
  }

  private void handle(HttpServerExchange exchange, byte[] bytes, Handler handler) {
    try {
      handler.handle(
          exchange.getRequestMethod().toString(),
          exchange.getRequestPath(),
          Body.of(bytes),
          response -> respond(exchange, response));
    } catch (RuntimeException e) {
      // A user must never receive a stack trace.
      LOG.error("event=request_failed path={}", exchange.getRequestPath(), e);
      respond(exchange, Response.unavailable(Duration.ofSeconds(1), "internal"));
    }
  }

  private void respond(HttpServerExchange exchange, Response response) {
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
    if (response.close()
        || (openConnections > keepAliveLimit
            && closedOverKeepAliveLimit.test(exchange.getRequestPath()))) {
      exchange.setPersistent(false);
      // Closes the connection immediately instead of waiting for the client, because an unreachable
      // client never closes it.
      exchange.addExchangeCompleteListener(
          (ex, next) -> {
            next.proceed();
            IoUtils.safeClose(ex.getConnection());
          });
    }
    byte[] bytes = response.body().bytes();
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/msgpack");
    exchange.setResponseContentLength(bytes.length);
    exchange.getResponseSender().send(ByteBuffer.wrap(bytes));
  }
}
