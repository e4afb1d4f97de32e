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
 * Length-prefixed records over XNIO connections. Each controller dials every other and sends on the
 * connection that it dialled; what it accepted it only reads. So a broken direction shows on its
 * own, and a record from before a reconnect can't follow one from after it.
 *
 * <p>The first frame names versions and sender; a frame that is too long, or a sender that is not a
 * configured peer, closes the connection: foreign or garbled bytes change nothing.
 */
public final class TcpPeerTransport implements PeerTransport {
  private static final Logger LOG = LoggerFactory.getLogger(TcpPeerTransport.class);
  private static final int MAX_FRAME = 4 << 20;
  private static final int MAX_QUEUE = 8 << 20;
  private static final Duration SILENCE = Duration.ofSeconds(3);
  private static final Duration RETRY = Duration.ofMillis(400);
  private static final Duration DIAL = Duration.ofSeconds(2);
  private static final Duration GATHER = Duration.ofMillis(15);
  private static final int MOST_GATHERED = 64;

  private final EventLoop loop;
  private final XnioWorker worker;
  private final String self;
  private final String greeting;
  private final Predicate<String> accepted;
  private final Receiver receiver;
  private final Map<String, Peer> peers = new HashMap<>();

  private static final class Peer {
    final String name;
    final InetSocketAddress address;
    StreamConnection out;
    final ArrayDeque<ByteBuffer> queue = new ArrayDeque<>();
    int queued;
    boolean flushPlanned;
    Instant heard = Instant.MIN;
    boolean wasUp;

    Peer(String name, InetSocketAddress address) {
      this.name = name;
      this.address = address;
    }
  }

  /**
   * Prepares links.
   *
   * @param greeting names the versions of records that this side understands
   * @param accepted which greetings of the other side name a version that this one understands
   */
  public TcpPeerTransport(
      EventLoop loop,
      XnioWorker worker,
      String self,
      String greeting,
      Predicate<String> accepted,
      Map<String, InetSocketAddress> addresses,
      Receiver receiver) {
    this.loop = loop;
    this.worker = worker;
    this.self = self;
    this.greeting = greeting;
    this.accepted = accepted;
    this.receiver = receiver;
    addresses.forEach((name, address) -> peers.put(name, new Peer(name, address)));
  }

  /** Listens and begins to dial. */
  public void start(InetSocketAddress listen) throws IOException {
    ChannelListener<org.xnio.channels.AcceptingChannel<StreamConnection>> acceptor =
        channel -> {
          try {
            StreamConnection c;
            while ((c = channel.accept()) != null) {
              new Reader(c).start();
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
    peers.values().forEach(this::dial);
  }

  @Override
  public Set<String> connected() {
    Instant limit = loop.clock().instant().minus(SILENCE);
    Set<String> result = new LinkedHashSet<>();
    for (Peer p : peers.values()) {
      if (isConnected(p, limit)) {
        result.add(p.name);
      }
    }
    return result;
  }

  @Override
  public boolean isConnected(String peer) {
    Peer p = peers.get(peer);
    return p != null && isConnected(p, loop.clock().instant().minus(SILENCE));
  }

  private static boolean isConnected(Peer p, Instant limit) {
    return p.out != null && p.heard.isAfter(limit);
  }

  @Override
  public boolean send(String peer, byte[] frame) {
    Peer p = peers.get(peer);
    if (p == null || p.out == null) {
      return false;
    }
    if (p.queued + frame.length > MAX_QUEUE) {
      LOG.warn("event=peer_queue_full peer={}", peer);
      drop(p, p.out);
      return false;
    }
    enqueue(p, frame);
    if (!p.flushPlanned) {
      // Records come in crowds; each write costs as much as many records.
      p.flushPlanned = true;
      loop.after(
          GATHER,
          () -> {
            p.flushPlanned = false;
            flush(p);
          });
    }
    return true;
  }

  private static void enqueue(Peer p, byte[] frame) {
    ByteBuffer buffer = ByteBuffer.allocate(4 + frame.length);
    buffer.putInt(frame.length).put(frame).flip();
    p.queue.add(buffer);
    p.queued += buffer.remaining();
  }

  private void dial(Peer p) {
    IoFuture<StreamConnection> future =
        worker.openStreamConnection(
            p.address, c -> {}, OptionMap.builder().set(Options.TCP_NODELAY, true).getMap());
    loop.after(
        DIAL,
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
                      opened(p, f.get());
                      return;
                    }
                    if (f.getStatus() == IoFuture.Status.FAILED
                        && f.getException() instanceof ConnectException
                        && p.wasUp) {
                      p.wasUp = false;
                      receiver.ended(p.name);
                    }
                  } catch (IOException e) {
                    LOG.debug("event=peer_dial_failed peer={} reason={}", p.name, e.getMessage());
                  }
                  loop.after(RETRY, () -> dial(p));
                }),
        null);
  }

  private void opened(Peer p, StreamConnection c) {
    p.out = c;
    p.wasUp = true;
    p.queue.clear();
    p.queued = 0;
    c.getCloseSetter().set(x -> loop.execute(() -> drop(p, c)));
    // Nothing is sent back on this connection: readable means closed.
    c.getSourceChannel()
        .setReadListener(
            ch -> {
              try {
                if (ch.read(ByteBuffer.allocate(16)) != 0) {
                  IoUtils.safeClose(c);
                }
              } catch (IOException e) {
                IoUtils.safeClose(c);
              }
            });
    c.getSourceChannel().resumeReads();
    LOG.info("event=peer_link_up peer={}", p.name);
    enqueue(p, (greeting + " " + self).getBytes(StandardCharsets.UTF_8));
    flush(p);
  }

  private void drop(Peer p, StreamConnection c) {
    if (p.out == c) {
      p.out = null;
      LOG.info("event=peer_link_down peer={}", p.name);
      // At once: a refusal tells an ended process from a broken link.
      loop.after(Duration.ofMillis(20), () -> dial(p));
    }
    IoUtils.safeClose(c);
  }

  private void flush(Peer p) {
    StreamConnection c = p.out;
    if (c == null) {
      return;
    }
    ConduitStreamSinkChannel sink = c.getSinkChannel();
    try {
      while (!p.queue.isEmpty()) {
        ByteBuffer[] heads = p.queue.stream().limit(MOST_GATHERED).toArray(ByteBuffer[]::new);
        p.queued -= (int) sink.write(heads, 0, heads.length);
        while (!p.queue.isEmpty() && !p.queue.peek().hasRemaining()) {
          p.queue.poll();
        }
        if (heads[heads.length - 1].hasRemaining()) {
          sink.setWriteListener(ch -> flush(p));
          sink.resumeWrites();
          return;
        }
      }
      sink.flush();
      sink.suspendWrites();
    } catch (IOException e) {
      drop(p, c);
    }
  }

  /** Cuts an accepted connection into frames. */
  private final class Reader {
    private final StreamConnection connection;
    private final ByteBuffer chunk = ByteBuffer.allocate(32768);
    private ByteBuffer frame = ByteBuffer.allocate(4);
    private boolean inBody;
    private Peer from;

    Reader(StreamConnection connection) {
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
          int n = source.read(chunk);
          if (n == 0) {
            return;
          }
          if (n < 0) {
            IoUtils.safeClose(connection);
            return;
          }
          chunk.flip();
          while (chunk.hasRemaining()) {
            take();
          }
        }
      } catch (IOException e) {
        IoUtils.safeClose(connection);
      }
    }

    private void take() throws IOException {
      // As a whole: byte by byte it took a tenth of the time of a leader whose code was not
      // compiled.
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
        if (length <= 0 || length > MAX_FRAME) {
          throw new IOException("frame of " + length + " bytes");
        }
        frame = ByteBuffer.allocate(length);
        inBody = true;
        return;
      }
      byte[] bytes = frame.array();
      frame = ByteBuffer.allocate(4);
      inBody = false;
      if (from == null) {
        String[] hello = new String(bytes, StandardCharsets.UTF_8).split(" ", 2);
        if (hello.length != 2 || !accepted.test(hello[0]) || !peers.containsKey(hello[1])) {
          LOG.warn("event=foreign_peer action=closed");
          throw new IOException("foreign peer");
        }
        from = peers.get(hello[1]);
      } else {
        from.heard = loop.clock().instant();
        receiver.received(from.name, bytes);
      }
    }
  }
}
