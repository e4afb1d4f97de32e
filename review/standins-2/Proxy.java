import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Passes connections on to a loopback port; holds them back or resets them when told to. */
final class Proxy {
  enum Mode {
    PASS,
    HOLD,
    RESET
  }

  private final int target;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private Mode mode = Mode.PASS;

  Proxy(int port, int target) throws IOException {
    this.target = target;
    ServerSocket server = new ServerSocket();
    server.setReuseAddress(true);
    server.bind(new InetSocketAddress(Http.LOOPBACK, port), 128);
    Http.POOL.execute(
        () -> {
          while (true) {
            try {
              Socket socket = server.accept();
              Http.POOL.execute(() -> connect(socket));
            } catch (IOException e) {
              return;
            }
          }
        });
  }

  synchronized void set(Mode newMode) {
    mode = newMode;
    if (mode == Mode.RESET) {
      open.forEach(Proxy::reset);
    }
    notifyAll();
  }

  private static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // It is closed already.
    }
  }

  private synchronized Mode awaitPass() {
    while (mode == Mode.HOLD) {
      try {
        wait();
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }
    return mode;
  }

  private void connect(Socket from) {
    if (awaitPass() == Mode.RESET) {
      reset(from);
      return;
    }
    try {
      Socket to = new Socket();
      to.setTcpNoDelay(true);
      from.setTcpNoDelay(true);
      to.connect(new InetSocketAddress(Http.LOOPBACK, target), 2000);
      open.add(from);
      open.add(to);
      Http.POOL.execute(() -> pump(from, to));
      Http.POOL.execute(() -> pump(to, from));
    } catch (IOException e) {
      reset(from);
    }
  }

  private void pump(Socket from, Socket to) {
    byte[] bytes = new byte[16384];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
        awaitPass();
        out.write(bytes, 0, count);
      }
      awaitPass();
      to.shutdownOutput();
      if (from.isOutputShutdown() || to.isInputShutdown()) {
        from.close();
        to.close();
      }
    } catch (IOException e) {
      awaitPass();
      reset(from);
      reset(to);
    }
    if (from.isClosed() || to.isClosed()) {
      open.remove(from);
      open.remove(to);
    }
  }
}
