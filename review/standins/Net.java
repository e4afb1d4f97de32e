import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

/** HTTP on loopback, a proxy that can hold what it carries, and who is behind a connection. */
final class Net {
  static final ExecutorService THREADS =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
          });
  static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

  private static final HttpClient CLIENT =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(2))
          .executor(THREADS)
          .build();

  private Net() {}

  record Reply(int status, Map<String, Object> body) {
    static final Reply NONE = new Reply(0, Map.of());
  }

  interface Handler {
    /** Answers a request; null: never. */
    Reply handle(String method, String path, Map<String, Object> body, int remotePort)
        throws Exception;
  }

  /** Starts an HTTP server on a free port of 127.0.0.1 and returns it. */
  static HttpServer serve(Handler handler) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
    server.setExecutor(THREADS);
    server.createContext("/", exchange -> answer(exchange, handler));
    server.start();
    return server;
  }

  private static void answer(HttpExchange exchange, Handler handler) throws IOException {
    byte[] bytes = exchange.getRequestBody().readAllBytes();
    Reply reply;
    try {
      reply =
          handler.handle(
              exchange.getRequestMethod(),
              exchange.getRequestURI().toString(),
              Pack.decodeMap(bytes),
              exchange.getRemoteAddress().getPort());
    } catch (Exception e) {
      e.printStackTrace();
      reply = new Reply(500, Map.of());
    }
    if (reply == null) {
      return;
    }
    byte[] body = Pack.encode(reply.body);
    exchange.getResponseHeaders().set("Content-Type", "application/msgpack");
    exchange.sendResponseHeaders(reply.status, body.length);
    try (OutputStream out = exchange.getResponseBody()) {
      out.write(body);
    }
  }

  /** Sends a request; the reply has status 0 if none came in time. */
  static CompletableFuture<Reply> call(
      String address, String method, String path, Map<String, Object> body, Duration timeout) {
    HttpRequest.BodyPublisher publisher =
        body == null
            ? HttpRequest.BodyPublishers.noBody()
            : HttpRequest.BodyPublishers.ofByteArray(Pack.encode(body));
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .method(method, publisher)
            .timeout(timeout)
            .build();
    return CLIENT
        .sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())
        .thenApply(response -> new Reply(response.statusCode(), decode(response.body())))
        .exceptionally(failure -> Reply.NONE);
  }

  private static Map<String, Object> decode(byte[] body) {
    try {
      return Pack.decodeMap(body);
    } catch (RuntimeException e) {
      return Map.of();
    }
  }

  /** Returns a free port below the range from which outgoing connections take theirs. */
  static int freePort() throws IOException {
    for (int i = 0; i < 100; i++) {
      int port = 20000 + ThreadLocalRandom.current().nextInt(12000);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        return socket.getLocalPort();
      } catch (IOException e) {
        // It is in use: try another one.
      }
    }
    throw new IOException("no free port");
  }

  /** Carries connections to a port; holds all that is under way while the condition is true. */
  static int proxy(int target, BooleanSupplier held) throws IOException {
    ServerSocket server = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
    THREADS.execute(
        () -> {
          while (true) {
            try {
              Socket inbound = server.accept();
              THREADS.execute(() -> carry(inbound, target, held));
            } catch (IOException e) {
              return;
            }
          }
        });
    return server.getLocalPort();
  }

  private static void carry(Socket inbound, int target, BooleanSupplier held) {
    try {
      await(held);
      Socket outbound = new Socket("127.0.0.1", target);
      inbound.setTcpNoDelay(true);
      outbound.setTcpNoDelay(true);
      THREADS.execute(() -> pump(inbound, outbound, held));
      pump(outbound, inbound, held);
    } catch (IOException | InterruptedException e) {
      close(inbound);
    }
  }

  private static void await(BooleanSupplier held) throws InterruptedException {
    while (held.getAsBoolean()) {
      Thread.sleep(20);
    }
  }

  private static void pump(Socket from, Socket to, BooleanSupplier held) {
    byte[] buffer = new byte[16384];
    try {
      InputStream in = from.getInputStream();
      int count;
      while ((count = in.read(buffer)) >= 0) {
        await(held);
        to.getOutputStream().write(buffer, 0, count);
      }
      await(held);
    } catch (IOException | InterruptedException e) {
      // The connection has ended.
    }
    close(from);
    close(to);
  }

  private static void close(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // It is closed.
    }
  }

  /** Returns the inode of the socket with the given local port that another process holds. */
  private static Optional<String> inodeOfLocalPort(int port) throws IOException {
    String suffix = String.format(":%04X", port);
    for (String file : new String[] {"/proc/net/tcp", "/proc/net/tcp6"}) {
      for (String line : Files.readAllLines(Path.of(file))) {
        String[] fields = line.trim().split("\\s+");
        if (fields.length > 9 && fields[1].endsWith(suffix) && !fields[9].equals("0")) {
          return Optional.of(fields[9]);
        }
      }
    }
    return Optional.empty();
  }

  /** Returns whether the process holds the client side of a connection from the given port. */
  static boolean isFrom(long pid, int remotePort) {
    try {
      Optional<String> inode = inodeOfLocalPort(remotePort);
      if (inode.isEmpty()) {
        return false;
      }
      String name = "socket:[" + inode.get() + "]";
      try (Stream<Path> files = Files.list(Path.of("/proc/" + pid + "/fd"))) {
        return files.anyMatch(file -> name.equals(linkOf(file)));
      }
    } catch (IOException e) {
      return false;
    }
  }

  private static String linkOf(Path file) {
    try {
      return Files.readSymbolicLink(file).toString();
    } catch (IOException e) {
      return "";
    }
  }
}
