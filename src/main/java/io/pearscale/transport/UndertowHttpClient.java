package io.pearscale.transport;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.SocketAddress;
import java.net.URI;
import java.net.URISyntaxException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Sends requests with Undertow's client, one at a time per connection. A connection whose request
 * timed out is closed, so that a late response cannot be mistaken for the response to a later
 * request. The number of connections is limited, so that unresponsive hosts cannot exhaust the
 * sockets.
 */
public final class UndertowHttpClient implements HttpClient {
  private static final int MAX_RESPONSE_BYTES = 64 << 20;
  private static final int MAX_CONNECTING_PER_HOST = 3;
  private static final int MAX_IDLE_PER_HOST = 6;

  private final EventLoop loop;
  private final Timeouts timeouts;
  private final CancellableConnector connector;
  private final ByteBufferPool buffers;
  private final int maxConnections;
  private final int reservedConnections;
  private final Set<String> priorityAddresses;
  private final Map<String, Host> hosts = new HashMap<>();

  /** Idle connections, least recently used first. */
  private final LinkedHashMap<ClientConnection, Host> idle = new LinkedHashMap<>();

  /** Open connections, excluding those that are being closed. */
  private final Set<ClientConnection> connected = new HashSet<>();

  private int connecting;
  private long refusedRequests;

  /** Creates a client that uses at most {@code maxConnections} sockets. */
  public UndertowHttpClient(
      EventLoop loop, XnioIoThread thread, ByteBufferPool buffers, int maxConnections) {
    this(loop, thread, buffers, maxConnections, 0, Set.of());
  }

  /**
   * Creates a client that uses at most {@code maxConnections} sockets.
   *
   * @param reservedConnections how many of these sockets only the priority addresses may use: with
   *     more machines than sockets, a burst of commands must not prevent the leader from reaching
   *     the key-value store
   */
  public UndertowHttpClient(
      EventLoop loop,
      XnioIoThread thread,
      ByteBufferPool buffers,
      int maxConnections,
      int reservedConnections,
      Set<String> priorityAddresses) {
    this.loop = loop;
    this.timeouts = new Timeouts(loop);
    this.connector = new CancellableConnector(thread);
    this.buffers = buffers;
    this.maxConnections = maxConnections;
    this.reservedConnections = reservedConnections;
    this.priorityAddresses = priorityAddresses;
  }

  private static final class Host {
    final String address;

    /** Empty if the address is invalid. */
    final Optional<URI> uri;

    final ArrayDeque<ClientConnection> idle = new ArrayDeque<>();
    int connecting;
    int pending;

    Host(String address) {
      this.address = address;
      this.uri = parseAddress(address);
    }
  }

  /** A request that receives exactly one reply, even if its connection fails. */
  private final class PendingRequest implements ClientCallback<ClientExchange> {
    final Host host;
    final ClientRequest request;
    final byte[] body;
    Consumer<Reply> onReply;
    ClientConnection connection;
    IoFuture<StreamConnection> connectAttempt;
    boolean connectInProgress;
    Timeouts.Timeout timeout;

    PendingRequest(Host host, ClientRequest request, byte[] body, Consumer<Reply> onReply) {
      this.host = host;
      this.request = request;
      this.body = body;
      this.onReply = onReply;
    }

    void finish(Reply reply, boolean reusable) {
      if (onReply == null) {
        return;
      }
      Consumer<Reply> callback = onReply;
      onReply = null;
      host.pending--;
      timeouts.cancel(timeout);
      if (connectInProgress) {
        connectAttemptEnded();
        connectAttempt.cancel();
      }
      if (connection != null) {
        if (reusable && connection.isOpen() && host.idle.size() < MAX_IDLE_PER_HOST) {
          host.idle.push(connection);
          idle.put(connection, host);
        } else {
          IoUtils.safeClose(connection);
        }
      }
      removeIfUnused(host);
      callback.accept(reply);
    }

    /** Marks the connection attempt as completed or cancelled. */
    void connectAttemptEnded() {
      connectInProgress = false;
      host.connecting--;
      connecting--;
    }

    void send(ClientConnection openConnection) {
      connection = openConnection;
      openConnection.sendRequest(request, this);
    }

    @Override
    public void completed(ClientExchange exchange) {
      exchange.setResponseListener(
          new ClientCallback<>() {
            @Override
            public void completed(ClientExchange result) {
              read(result);
            }

            @Override
            public void failed(IOException failure) {
              finish(Reply.NO_RESPONSE, false);
            }
          });
      if (body.length > 0) {
        write(exchange.getRequestChannel(), ByteBuffer.wrap(body));
      }
    }

    @Override
    public void failed(IOException failure) {
      finish(Reply.NO_RESPONSE, false);
    }

    private void write(StreamSinkChannel channel, ByteBuffer data) {
      try {
        while (data.hasRemaining()) {
          if (channel.write(data) == 0) {
            channel.getWriteSetter().set(c -> write(channel, data));
            channel.resumeWrites();
            return;
          }
        }
        channel.shutdownWrites();
        if (!channel.flush()) {
          channel
              .getWriteSetter()
              .set(
                  ChannelListeners.flushingChannelListener(
                      null, (c, e) -> finish(Reply.NO_RESPONSE, false)));
          channel.resumeWrites();
        } else {
          channel.suspendWrites();
        }
      } catch (IOException e) {
        finish(Reply.NO_RESPONSE, false);
      }
    }

    private void read(ClientExchange exchange) {
      int status = exchange.getResponse().getResponseCode();
      boolean close =
          "close"
              .equalsIgnoreCase(exchange.getResponse().getResponseHeaders().getFirst("Connection"));
      StreamSourceChannel channel = exchange.getResponseChannel();
      ByteArrayOutputStream bytes = new ByteArrayOutputStream(512);
      readMore(channel, bytes, status, close);
    }

    private void readMore(
        StreamSourceChannel channel, ByteArrayOutputStream bytes, int status, boolean close) {
      ByteBuffer buffer = ByteBuffer.allocate(8192);
      try {
        while (true) {
          buffer.clear();
          int count = channel.read(buffer);
          if (count == 0) {
            channel.getReadSetter().set(c -> readMore(channel, bytes, status, close));
            channel.resumeReads();
            return;
          }
          if (count < 0) {
            JsonNode tree = MessagePack.decode(bytes.toByteArray()).orElse(MessagePack.MISSING);
            finish(new Reply(status, tree), !close);
            return;
          }
          bytes.write(buffer.array(), 0, count);
          if (bytes.size() > MAX_RESPONSE_BYTES) {
            finish(Reply.NO_RESPONSE, false);
            return;
          }
        }
      } catch (IOException e) {
        finish(Reply.NO_RESPONSE, false);
      }
    }
  }

  @Override
  public void call(
      String address,
      String method,
      String path,
      JsonNode body,
      Duration timeout,
      Consumer<Reply> onReply) {
    Host host = hosts.computeIfAbsent(address, Host::new);
    if (host.uri.isEmpty()) {
      removeIfUnused(host);
      loop.execute(() -> onReply.accept(Reply.NO_RESPONSE));
      return;
    }
    byte[] bytes = body.isMissingNode() ? new byte[0] : MessagePack.encode(body);
    ClientRequest request =
        new ClientRequest().setMethod(HttpString.tryFromString(method)).setPath(path);
    request.getRequestHeaders().put(Headers.HOST, address);
    if (bytes.length > 0) {
      request.getRequestHeaders().put(Headers.CONTENT_LENGTH, Integer.toString(bytes.length));
      request.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/msgpack");
    } else if (!"GET".equals(method)) {
      request.getRequestHeaders().put(Headers.CONTENT_LENGTH, "0");
    }
    PendingRequest pending = new PendingRequest(host, request, bytes, onReply);
    host.pending++;
    pending.timeout = timeouts.start(timeout, () -> pending.finish(Reply.NO_RESPONSE, false));
    ClientConnection idleConnection;
    while ((idleConnection = host.idle.poll()) != null) {
      idle.remove(idleConnection);
      if (idleConnection.isOpen()) {
        pending.send(idleConnection);
        return;
      }
    }
    int connectionLimit =
        priorityAddresses.contains(address) ? maxConnections : maxConnections - reservedConnections;
    if (openConnections() >= connectionLimit) {
      evictLongestIdle();
    }
    if (host.connecting >= MAX_CONNECTING_PER_HOST || openConnections() >= connectionLimit) {
      refusedRequests++;
      loop.execute(() -> pending.finish(Reply.NOT_SENT, false));
      return;
    }
    connect(pending);
  }

  /** Returns how many requests have not been sent because no socket was available. */
  public long refusedRequests() {
    return refusedRequests;
  }

  /**
   * Removes a host without requests and connections, because machines and their addresses change
   * over time.
   */
  private void removeIfUnused(Host host) {
    if (host.pending == 0 && host.idle.isEmpty()) {
      hosts.remove(host.address, host);
    }
  }

  /** Returns the number of hosts in use. */
  int hostCount() {
    return hosts.size();
  }

  /**
   * Returns the URI of an address. Agents report their own addresses, so an invalid one is treated
   * as an unresponsive host: an exception would abort the remaining work of the caller for other
   * machines.
   */
  private static Optional<URI> parseAddress(String address) {
    try {
      URI uri = new URI("http://" + address);
      return uri.getHost() != null && uri.getPort() > 0 ? Optional.of(uri) : Optional.empty();
    } catch (URISyntaxException e) {
      return Optional.empty();
    }
  }

  /**
   * Closes the least recently used idle connection, which frees a socket for another host.
   * Connections to priority addresses are not closed.
   */
  private void evictLongestIdle() {
    Optional<ClientConnection> longestIdle =
        idle.entrySet().stream()
            .filter(entry -> !priorityAddresses.contains(entry.getValue().address))
            .map(Map.Entry::getKey)
            .findFirst();
    longestIdle.ifPresent(
        c -> {
          removeIdle(c);
          connected.remove(c);
          IoUtils.safeClose(c);
        });
  }

  /** Returns the number of connections that are open or being opened. */
  public int openConnections() {
    return connecting + connected.size();
  }

  private void removeIdle(ClientConnection connection) {
    Host host = idle.remove(connection);
    if (host != null) {
      host.idle.remove(connection);
      removeIfUnused(host);
    }
  }

  private void connect(PendingRequest pending) {
    Host host = pending.host;
    host.connecting++;
    connecting++;
    pending.connectInProgress = true;
    UndertowClient.getInstance()
        .connect(
            new ClientCallback<>() {
              @Override
              public void completed(ClientConnection connection) {
                if (!pending.connectInProgress) {
                  IoUtils.safeClose(connection);
                  return;
                }
                pending.connectAttemptEnded();
                connected.add(connection);
                connection
                    .getCloseSetter()
                    .set(
                        c -> {
                          connected.remove(connection);
                          removeIdle(connection);
                        });
                pending.send(connection);
              }

              @Override
              public void failed(IOException failure) {
                if (pending.connectInProgress) {
                  pending.connectAttemptEnded();
                  pending.finish(Reply.NO_RESPONSE, false);
                }
              }
            },
            host.uri.orElseThrow(),
            connector,
            buffers,
            OptionMap.EMPTY);
    pending.connectAttempt = connector.lastAttempt;
  }

  /**
   * Opens connections on the event loop thread and keeps the connection attempt so that it can be
   * cancelled. A connection to an unreachable machine neither opens nor fails for minutes, and
   * Undertow's client cannot cancel it. A few hundred such attempts would use all sockets,
   * including those for the key-value store.
   */
  private static final class CancellableConnector extends XnioIoThread {
    private final XnioIoThread thread;
    IoFuture<StreamConnection> lastAttempt;

    CancellableConnector(XnioIoThread thread) {
      super(thread.getWorker(), thread.getNumber());
      this.thread = thread;
    }

    @Override
    public IoFuture<StreamConnection> openStreamConnection(
        SocketAddress destination,
        ChannelListener<? super StreamConnection> opened,
        OptionMap options) {
      lastAttempt = thread.openStreamConnection(destination, opened, options);
      return lastAttempt;
    }

    @Override
    public void execute(Runnable task) {
      thread.execute(task);
    }

    @Override
    public Key executeAfter(Runnable task, long time, TimeUnit unit) {
      return thread.executeAfter(task, time, unit);
    }

    @Override
    public Key executeAtInterval(Runnable task, long time, TimeUnit unit) {
      return thread.executeAtInterval(task, time, unit);
    }
  }
}
