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
 * The listener for users, workers and health checks.
 *
 * <p>With more workers than sockets, as when two of three controllers are out of their reach, open
 * connections would keep all others out for good: a worker without one waits for seconds at each
 * controller in turn while its lease runs out. So when most sockets are taken, those who speak only
 * now and then are asked to come anew each time: their connection is closed with the answer.
 */
public final class HttpServer {
  private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);
  private static final long MAX_BODY_BYTES = 64 * 1024;

  /** A fleet whose controller comes back connects all at once, and a full queue drops attempts. */
  private static final int MIN_BACKLOG = 256;

  /** What a request is answered with. */
  public record Response(int status, Body body, Optional<Duration> retryAfter, boolean close) {
    /** A plain answer. */
    public static Response of(int status, JsonNode body) {
      return new Response(status, Body.of(body), Optional.empty(), false);
    }

    /** A plain answer whose body is encoded already. */
    public static Response of(int status, byte[] body) {
      return new Response(status, Body.of(body), Optional.empty(), false);
    }

    /** A refusal that tells the client when to come back; given at once, never held. */
    public static Response unavailable(Duration retryAfter, String reason) {
      return new Response(
          503,
          Body.of(MessagePack.map().put("error", reason)),
          Optional.of(retryAfter),
          /* close= */ true);
    }
  }

  /** Handles a request; the consumer must be given exactly one response, now or later. */
  public interface Handler {
    /** Called with the whole body. */
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
   * Prepares a server on the address, run by the worker.
   *
   * @param keepAliveLimit how many may be open before connections are closed with their answers
   * @param closedOverKeepAliveLimit paths of those whose connections are closed then
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

  /** Starts to listen. */
  public void start() {
    undertow.start();
  }

  /** Stops to listen. */
  public void stop() {
    undertow.stop();
  }

  /** Connections on which anything was asked. */
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
      // A user must never see a trace, whatever the request did to us.
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
      // At once, not when the client closes its side, which one that is cut off never does.
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
