package io.pearscale.transport;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Transfers length-prefixed records over XNIO connections. Each controller opens a connection to
 * every other controller and sends only on it; it only reads from accepted connections. A failure
 * in one direction is therefore detected independently of the other, and a record sent before a
 * reconnect cannot arrive after one sent later.
 *
 * <p>The first frame contains the supported versions and the name of the sender. A frame that is
 * too long, an unsupported version or a sender that is not a configured peer closes the connection,
 * so that unknown or corrupted data changes no state.
 */
public final class TcpPeerTransport implements PeerTransport {
  private static final Logger LOG = LoggerFactory.getLogger(TcpPeerTransport.class);
  private static final int MAX_FRAME_BYTES = 4 << 20;
  private static final int MAX_QUEUED_BYTES = 8 << 20;
  private static final Duration LIVENESS_TIMEOUT = Duration.ofSeconds(3);
  private static final Duration RECONNECT_DELAY = Duration.ofMillis(400);
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration BATCH_DELAY = Duration.ofMillis(15);
  private static final int MAX_FRAMES_PER_WRITE = 64;

  private final EventLoop loop;
  private final XnioWorker worker;
  private final String localName;
  private final String greeting;
  private final Predicate<String> acceptsGreeting;
  private final Receiver receiver;
  private final Map<String, Peer> peers = new HashMap<>();

  private static final class Peer {
    final String name;
    final InetSocketAddress address;
    StreamConnection outbound;
    final ArrayDeque<ByteBuffer> queue = new ArrayDeque<>();
    int queuedBytes;
    boolean flushScheduled;
    Instant lastReceived = Instant.MIN;
    boolean wasConnected;

    Peer(String name, InetSocketAddress address) {
      this.name = name;
      this.address = address;
    }
  }

  /**
   * Creates a transport without connections.
   *
   * @param greeting announces the record versions that this controller supports
   * @param acceptsGreeting returns whether the greeting of a peer contains a version that this
   *     controller supports
   */
  public TcpPeerTransport(
      EventLoop loop,
      XnioWorker worker,
      String localName,
      String greeting,
      Predicate<String> acceptsGreeting,
      Map<String, InetSocketAddress> addresses,
      Receiver receiver) {
    this.loop = loop;
    this.worker = worker;
    this.localName = localName;
    this.greeting = greeting;
    this.acceptsGreeting = acceptsGreeting;
    this.receiver = receiver;
    addresses.forEach((name, address) -> peers.put(name, new Peer(name, address)));
  }

  /** Starts listening and connects to all peers. */
  public void start(InetSocketAddress listen) throws IOException {
    ChannelListener<org.xnio.channels.AcceptingChannel<StreamConnection>> acceptor =
        channel -> {
          try {
            StreamConnection connection;
            while ((connection = channel.accept()) != null) {
              new FrameReader(connection).start();
            }
          } catch (IOException e) {
            LOG.debug("event=peer_accept_failed reason={}", e.getMessage());
          }
        };
    worker
        .createStreamConnectionServer(
            listen,
            acceptor,
            OptionMap.builder().set(Options.TCP_NODELAY, true).set(Options.BACKLOG, 16).getMap())
        .resumeAccepts();
    peers.values().forEach(this::connect);
  }

  @Override
  public Set<String> connectedPeers() {
    Instant limit = loop.clock().instant().minus(LIVENESS_TIMEOUT);
    Set<String> result = new LinkedHashSet<>();
    for (Peer peer : peers.values()) {
      if (isConnected(peer, limit)) {
        result.add(peer.name);
      }
    }
    return result;
  }

  @Override
  public boolean isConnected(String peer) {
    Peer candidate = peers.get(peer);
    return candidate != null
        && isConnected(candidate, loop.clock().instant().minus(LIVENESS_TIMEOUT));
  }

  private static boolean isConnected(Peer candidate, Instant limit) {
    return candidate.outbound != null && candidate.lastReceived.isAfter(limit);
  }

  @Override
  public boolean send(String peer, byte[] frame) {
    Peer p = peers.get(peer);
    if (p == null || p.outbound == null) {
      return false;
    }
    if (p.queuedBytes + frame.length > MAX_QUEUED_BYTES) {
      LOG.warn("event=peer_queue_full peer={}", peer);
      disconnect(p, p.outbound);
      return false;
    }
    enqueue(p, frame);
    if (!p.flushScheduled) {
      // Records arrive in bursts, and a write costs as much as many records, so records are sent in
      // batches.
      p.flushScheduled = true;
      loop.schedule(
          BATCH_DELAY,
          () -> {
            p.flushScheduled = false;
            flush(p);
          });
    }
    return true;
  }

  private static void enqueue(Peer peer, byte[] frame) {
    ByteBuffer buffer = ByteBuffer.allocate(4 + frame.length);
    buffer.putInt(frame.length).put(frame).flip();
    peer.queue.add(buffer);
    peer.queuedBytes += buffer.remaining();
  }

  private void connect(Peer peer) {
    IoFuture<StreamConnection> future =
        worker.openStreamConnection(
            peer.address, c -> {}, OptionMap.builder().set(Options.TCP_NODELAY, true).getMap());
    loop.schedule(
        CONNECT_TIMEOUT,
        () -> {
          if (future.getStatus() == IoFuture.Status.WAITING) {
            future.cancel();
          }
        });
    future.addNotifier(
        (f, ignored) ->
            loop.execute(
                () -> {
                  try {
                    if (f.getStatus() == IoFuture.Status.DONE) {
                      connectionOpened(peer, f.get());
                      return;
                    }
                    if (f.getStatus() == IoFuture.Status.FAILED
                        && f.getException() instanceof ConnectException
                        && peer.wasConnected) {
                      peer.wasConnected = false;
                      receiver.processEnded(peer.name);
                    }
                  } catch (IOException e) {
                    LOG.debug(
                        "event=peer_dial_failed peer={} reason={}", peer.name, e.getMessage());
                  }
                  loop.schedule(RECONNECT_DELAY, () -> connect(peer));
                }),
        null);
  }

  private void connectionOpened(Peer peer, StreamConnection connection) {
    peer.outbound = connection;
    peer.wasConnected = true;
    peer.queue.clear();
    peer.queuedBytes = 0;
    connection.getCloseSetter().set(x -> loop.execute(() -> disconnect(peer, connection)));
    // The peer sends nothing on this connection, so a readable channel means that it was closed.
    connection
        .getSourceChannel()
        .setReadListener(
            ch -> {
              try {
                if (ch.read(ByteBuffer.allocate(16)) != 0) {
                  IoUtils.safeClose(connection);
                }
              } catch (IOException e) {
                IoUtils.safeClose(connection);
              }
            });
    connection.getSourceChannel().resumeReads();
    LOG.info("event=peer_link_up peer={}", peer.name);
    enqueue(peer, (greeting + " " + localName).getBytes(StandardCharsets.UTF_8));
    flush(peer);
  }

  private void disconnect(Peer peer, StreamConnection connection) {
    if (peer.outbound == connection) {
      peer.outbound = null;
      LOG.info("event=peer_link_down peer={}", peer.name);
      // Reconnects with a short delay, because a refused connection distinguishes an ended process
      // from a network failure.
      loop.schedule(Duration.ofMillis(20), () -> connect(peer));
    }
    IoUtils.safeClose(connection);
  }

  private void flush(Peer peer) {
    StreamConnection connection = peer.outbound;
    if (connection == null) {
      return;
    }
    ConduitStreamSinkChannel sink = connection.getSinkChannel();
    try {
      while (!peer.queue.isEmpty()) {
        ByteBuffer[] batch =
            peer.queue.stream().limit(MAX_FRAMES_PER_WRITE).toArray(ByteBuffer[]::new);
        peer.queuedBytes -= (int) sink.write(batch, 0, batch.length);
        while (!peer.queue.isEmpty() && !peer.queue.peek().hasRemaining()) {
          peer.queue.poll();
        }
        if (batch[batch.length - 1].hasRemaining()) {
          sink.setWriteListener(ch -> flush(peer));
          sink.resumeWrites();
          return;
        }
      }
      sink.flush();
      sink.suspendWrites();
    } catch (IOException e) {
      disconnect(peer, connection);
    }
  }

  /** Splits the data of an accepted connection into frames. */
  private final class FrameReader {
    private final StreamConnection connection;
    private final ByteBuffer chunk = ByteBuffer.allocate(32768);
    private ByteBuffer frame = ByteBuffer.allocate(4);
    private boolean inBody;
    private Peer sender;

    FrameReader(StreamConnection connection) {
      this.connection = connection;
    }

    void start() {
      ConduitStreamSourceChannel source = connection.getSourceChannel();
      source.setReadListener(this::read);
      source.resumeReads();
      loop.execute(() -> read(source));
    }

    private void read(ConduitStreamSourceChannel source) {
      try {
        while (true) {
          chunk.clear();
          int count = source.read(chunk);
          if (count == 0) {
            return;
          }
          if (count < 0) {
            IoUtils.safeClose(connection);
            return;
          }
          chunk.flip();
          while (chunk.hasRemaining()) {
            consumeBytes();
          }
        }
      } catch (IOException e) {
        IoUtils.safeClose(connection);
      }
    }

    private void consumeBytes() throws IOException {
      // Copies a block at a time. Copying byte by byte took a tenth of the time of a leader whose
      // code was not yet JIT-compiled.
      int end = chunk.limit();
      chunk.limit(Math.min(end, chunk.position() + frame.remaining()));
      frame.put(chunk);
      chunk.limit(end);
      if (frame.hasRemaining()) {
        return;
      }
      frame.flip();
      if (!inBody) {
        int length = frame.getInt();
        if (length <= 0 || length > MAX_FRAME_BYTES) {
          throw new IOException("frame of " + length + " bytes, expected 1 byte to 4 MiB");
        }
        frame = ByteBuffer.allocate(length);
        inBody = true;
        return;
      }
      byte[] bytes = frame.array();
      frame = ByteBuffer.allocate(4);
      inBody = false;
      if (sender == null) {
        String[] greetingParts = new String(bytes, StandardCharsets.UTF_8).split(" ", 2);
        if (greetingParts.length != 2
            || !acceptsGreeting.test(greetingParts[0])
            || !peers.containsKey(greetingParts[1])) {
          LOG.warn("event=foreign_peer action=closed");
          throw new IOException("greeting of an unknown peer or with unsupported versions");
        }
        sender = peers.get(greetingParts[1]);
      } else {
        sender.lastReceived = loop.clock().instant();
        receiver.received(sender.name, bytes);
      }
    }
  }
}
