import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** A small HTTP client and server with MessagePack bodies. */
final class Http {
  static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

  static {
    System.setProperty("sun.net.httpserver.nodelay", "true");
  }

  static final ExecutorService POOL =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
          });

  private Http() {}

  /** A status (0: no response) and a decoded body. */
  record Reply(int status, Object body) {
    @SuppressWarnings("unchecked")
    Map<String, Object> map() {
      return body instanceof Map ? (Map<String, Object>) body : Map.of();
    }
  }

  interface Handler {
    /** Answers, or returns null to close the connection without an answer. */
    Reply handle(String method, String path, String query, Object body) throws Exception;
  }

  static HttpServer serve(int port, Handler handler) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress(LOOPBACK, port), 256);
    server.setExecutor(POOL);
    server.createContext(
        "/",
        exchange -> {
          try {
            byte[] bytes = exchange.getRequestBody().readAllBytes();
            Reply reply =
                handler.handle(
                    exchange.getRequestMethod(),
                    exchange.getRequestURI().getPath(),
                    exchange.getRequestURI().getQuery() == null
                        ? ""
                        : exchange.getRequestURI().getQuery(),
                    Pack.decode(bytes));
            if (reply != null) {
              byte[] answer = reply.body() == null ? new byte[0] : Pack.encode(reply.body());
              exchange.getResponseHeaders().add("Content-Type", "application/msgpack");
              exchange.sendResponseHeaders(
                  reply.status(), answer.length == 0 ? -1 : answer.length);
              if (answer.length > 0) {
                exchange.getResponseBody().write(answer);
              }
            }
          } catch (IOException e) {
            // The client has gone.
          } catch (Exception e) {
            e.printStackTrace();
          } finally {
            exchange.close();
          }
        });
    server.start();
    return server;
  }

  /** Sends one request on a connection of its own. */
  static Reply call(int port, String method, String path, Object body, int timeoutMs) {
    long deadline = System.nanoTime() + timeoutMs * 1_000_000L;
    try (Socket socket = new Socket()) {
      socket.setTcpNoDelay(true);
      socket.connect(new InetSocketAddress(LOOPBACK, port), timeoutMs);
      byte[] bytes = body == null ? new byte[0] : Pack.encode(body);
      String head =
          method + " " + path + " HTTP/1.1\r\nHost: 127.0.0.1:" + port + "\r\nConnection: close\r\n"
              + (method.equals("GET")
                  ? "\r\n"
                  : "Content-Type: application/msgpack\r\nContent-Length: " + bytes.length
                      + "\r\n\r\n");
      ByteArrayOutputStream request = new ByteArrayOutputStream();
      request.write(head.getBytes(StandardCharsets.US_ASCII));
      request.write(bytes);
      OutputStream out = socket.getOutputStream();
      out.write(request.toByteArray());
      out.flush();
      return read(socket, deadline);
    } catch (IOException e) {
      return new Reply(0, null);
    }
  }

  private static Reply read(Socket socket, long deadline) throws IOException {
    InputStream in = socket.getInputStream();
    String statusLine = line(socket, in, deadline);
    int status = Integer.parseInt(statusLine.split(" ")[1]);
    int length = 0;
    for (String header = line(socket, in, deadline);
        !header.isEmpty();
        header = line(socket, in, deadline)) {
      if (header.toLowerCase().startsWith("content-length:")) {
        length = Integer.parseInt(header.substring(15).trim());
      }
    }
    byte[] bytes = new byte[length];
    remaining(socket, deadline);
    new DataInputStream(in).readFully(bytes);
    return new Reply(status, Pack.decode(bytes));
  }

  private static void remaining(Socket socket, long deadline) throws IOException {
    long left = (deadline - System.nanoTime()) / 1_000_000;
    if (left <= 0) {
      throw new IOException("too late");
    }
    socket.setSoTimeout((int) left);
  }

  private static String line(Socket socket, InputStream in, long deadline) throws IOException {
    StringBuilder text = new StringBuilder();
    while (true) {
      remaining(socket, deadline);
      int c = in.read();
      if (c < 0) {
        throw new IOException("closed");
      }
      if (c == '\n') {
        return text.toString();
      }
      if (c != '\r') {
        text.append((char) c);
      }
    }
  }
}
