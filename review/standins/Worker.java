import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** A worker of PROTOCOL-pearscale.md on one machine. All state is changed on one thread. */
final class Worker {
  private static final Duration REPORT_TIMEOUT = Duration.ofSeconds(4);

  private static final class Piece {
    final String piece;
    final long attempt;
    String stage = "fetching";
    String cause = "";
    boolean onMachine;

    Piece(String piece, long attempt) {
      this.piece = piece;
      this.attempt = attempt;
    }
  }

  final String name;
  final String breed;
  final String yard;
  final boolean windfall;
  private final double vcpus;
  private final double memoryGb;
  private final double fetchGbPerS;
  private final Cluster cluster;
  private final HttpServer server;
  private final Random random;
  private final ScheduledExecutorService thread =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread t = new Thread(task);
            t.setDaemon(true);
            return t;
          });
  private final Map<String, Piece> pieces = new LinkedHashMap<>();
  private final Set<String> images = new HashSet<>();
  private final Map<String, Long> fetches = new HashMap<>();
  private long stint = 1;
  private long tally;
  private long baton;
  private long leaseStart;
  private int node;
  private boolean reportInFlight;
  private boolean changed;
  private long lastReportAt;
  private ScheduledFuture<?> nextReport;
  private volatile boolean gone;
  private volatile Map<String, Object> lastAnswered = Map.of();
  private volatile int lastAnsweredBy = -1;

  /** The token of the last answer that a node of this worker's own zone gave. */
  private volatile long lastBaton;

  Worker(
      Cluster cluster,
      String name,
      String breed,
      String yard,
      boolean windfall,
      double vcpus,
      double memoryGb,
      double fetchGbPerS,
      int firstNode)
      throws IOException {
    this.cluster = cluster;
    this.name = name;
    this.breed = breed;
    this.yard = yard;
    this.windfall = windfall;
    this.vcpus = vcpus;
    this.memoryGb = memoryGb;
    this.fetchGbPerS = fetchGbPerS;
    this.node = firstNode;
    this.random = new Random(name.hashCode());
    this.leaseStart = System.nanoTime();
    this.server = Net.serve(this::direct);
    thread.scheduleAtFixedRate(this::checkLease, 50, 50, TimeUnit.MILLISECONDS);
    thread.schedule(this::report, random.nextInt(1000), TimeUnit.MILLISECONDS);
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /** The last report that was answered with 200, and the node that answered it. */
  Map<String, Object> lastAnswered() {
    return lastAnswered;
  }

  int lastAnsweredBy() {
    return lastAnsweredBy;
  }

  long lastBaton() {
    return lastBaton;
  }

  /** The machine is gone, with all that is on it. */
  void powerOff() {
    gone = true;
    server.stop(0);
    thread.shutdownNow();
    try {
      thread.awaitTermination(2, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    forgetAll("machine gone");
  }

  private double leaseS() {
    return cluster.leaseS;
  }

  private void checkLease() {
    if ((System.nanoTime() - leaseStart) / 1e9 > leaseS()) {
      cluster.record.line(name + " lease of session " + stint + " is over, " + pieces.size() + " pieces");
      forgetAll("lease over");
      stint++;
      leaseStart = System.nanoTime();
      change();
    }
  }

  private void forgetAll(String why) {
    for (Piece piece : pieces.values()) {
      leave(piece, why);
    }
    pieces.clear();
  }

  private void leave(Piece piece, String why) {
    if (piece.onMachine) {
      piece.onMachine = false;
      cluster.checker.left(piece.piece, name, piece.attempt, why);
    }
  }

  // ---- Reports ----

  private Map<String, Object> body() {
    List<Object> list = new ArrayList<>();
    for (Piece piece : pieces.values()) {
      Map<String, Object> entry =
          Pack.map("piece", piece.piece, "try", piece.attempt, "stage", piece.stage);
      if (piece.stage.equals("ended")) {
        entry.put("cause", piece.cause);
        entry.put("stored", false);
      }
      list.add(entry);
    }
    return Pack.map(
        "hive", name, "address", address(), "breed", breed, "yard", yard, "windfall", windfall,
        "stint", stint, "tally", ++tally, "baton", baton, "warningS", null, "pieces", list);
  }

  private void change() {
    if (reportInFlight) {
      changed = true;
      return;
    }
    long sinceMs = (System.nanoTime() - lastReportAt) / 1_000_000;
    schedule(Math.max(0, 500 - sinceMs));
  }

  private void schedule(long delayMs) {
    if (nextReport != null) {
      nextReport.cancel(false);
    }
    nextReport = thread.schedule(this::report, delayMs, TimeUnit.MILLISECONDS);
  }

  private void report() {
    if (reportInFlight || gone) {
      return;
    }
    reportInFlight = true;
    changed = false;
    long sentAt = System.nanoTime();
    lastReportAt = sentAt;
    long sentStint = stint;
    int to = node;
    Map<String, Object> body = body();
    cluster
        .toNode(this, to, "POST", "/checkin", body, REPORT_TIMEOUT)
        .thenAccept(
            reply -> {
              if (!gone) {
                thread.execute(() -> answered(to, body, sentAt, sentStint, reply));
              }
            });
  }

  private void answered(
      int from, Map<String, Object> body, long sentAt, long sentStint, Net.Reply reply) {
    reportInFlight = false;
    long token = Pack.number(reply.body(), "baton");
    cluster.record.line(
        name
            + " report "
            + body.get("tally")
            + " token "
            + body.get("baton")
            + " to "
            + cluster.nodeName(from)
            + " -> "
            + (reply.status() == 0 ? "no answer" : reply.status())
            + (reply.status() == 200 ? " token " + token : "")
            + orders(reply.body()));
    if (reply.status() == 200) {
      if ((System.nanoTime() - sentAt) / 1e9 < 4 && token >= baton && sentStint == stint) {
        boolean higher = token > baton;
        baton = token;
        lastBaton = token;
        leaseStart = sentAt;
        lastAnswered = body;
        lastAnsweredBy = from;
        cluster.tokenSeen(this, from, token);
        Pack.maps(reply.body(), "orders").forEach(this::execute);
        changed |= higher;
      }
      schedule((long) (cluster.reportS * 1000 * (0.75 + random.nextDouble() * 0.5)));
      if (changed) {
        change();
      }
    } else {
      int named = cluster.nodeNumber(Pack.text(reply.body(), "foreman"));
      if (reply.status() == 421 && named >= 0 && named != from) {
        node = named;
        schedule(random.nextInt(500));
      } else {
        node = (from + 1) % cluster.nodes();
        schedule(1000);
      }
    }
  }

  private static String orders(Map<String, Object> body) {
    StringBuilder text = new StringBuilder();
    for (Map<String, Object> order : Pack.maps(body, "orders")) {
      text.append("; ").append(order.get("verb")).append(' ').append(order.get("piece"));
      text.append(" try ").append(order.get("try"));
    }
    return text.toString();
  }

  // ---- Commands ----

  private Net.Reply direct(String method, String path, Map<String, Object> body, int remotePort)
      throws Exception {
    String from = cluster.callerOf(remotePort);
    if (gone || cluster.isCutFrom(this, from)) {
      cluster.record.line(
          name + " " + path + " of " + from + " token " + body.get("baton") + " does not arrive");
      return null;
    }
    if (path.startsWith("/status")) {
      return thread.submit(() -> new Net.Reply(200, body())).get();
    }
    return thread.submit(() -> command(from, body)).get();
  }

  private Net.Reply command(String from, Map<String, Object> body) {
    if (body.get("baton") == null || body.get("stint") == null) {
      return new Net.Reply(400, Map.of());
    }
    boolean refused = Pack.number(body, "baton") < baton || Pack.number(body, "stint") != stint;
    cluster.record.line(
        name
            + " /do of "
            + from
            + " token "
            + body.get("baton")
            + " session "
            + body.get("stint")
            + (refused ? " refused" : "")
            + orders(body));
    if (refused) {
      return new Net.Reply(409, body());
    }
    boolean higher = Pack.number(body, "baton") > baton;
    baton = Pack.number(body, "baton");
    Pack.maps(body, "orders").forEach(this::execute);
    if (higher) {
      change();
    }
    return new Net.Reply(200, body());
  }

  private void execute(Map<String, Object> order) {
    String name = Pack.text(order, "piece");
    long attempt = Pack.number(order, "try");
    String key = name + "#" + attempt;
    Piece piece = pieces.get(key);
    switch (Pack.text(order, "verb")) {
      case "run" -> {
        if (piece == null) {
          start(new Piece(name, attempt), key);
        }
      }
      case "kill" -> {
        if (piece != null && !piece.stage.equals("ended")) {
          end(piece, "stopped");
        }
      }
      case "clear" -> {
        if (piece != null && piece.stage.equals("ended")) {
          pieces.remove(key);
        }
      }
      default -> cluster.record.line("unknown order " + order);
    }
    change();
  }

  private void start(Piece piece, String key) {
    Cluster.Job job = cluster.jobOf(piece.piece);
    double cpus = 0;
    double memory = 0;
    boolean busy = false;
    for (Piece other : pieces.values()) {
      if (!other.stage.equals("ended")) {
        cpus += cluster.jobOf(other.piece).vcpus();
        memory += cluster.jobOf(other.piece).memoryGb();
        busy |= other.piece.equals(piece.piece);
      }
    }
    pieces.put(key, piece);
    if (busy) {
      end(piece, "busy");
    } else if (job == null) {
      end(piece, "no_such");
    } else if (cpus + job.vcpus() > vcpus + 1e-6 || memory + job.memoryGb() > memoryGb + 1e-6) {
      end(piece, "no_room");
    } else {
      long ready = System.nanoTime();
      if (!images.contains(job.bundle())) {
        ready =
            fetches.computeIfAbsent(
                job.bundle(),
                b -> System.nanoTime() + (long) (job.imageGb() / fetchGbPerS * 1e9));
      }
      thread.schedule(
          () -> run(piece, key, job), Math.max(1, ready - System.nanoTime()), TimeUnit.NANOSECONDS);
    }
  }

  private void run(Piece piece, String key, Cluster.Job job) {
    if (pieces.get(key) != piece || !piece.stage.equals("fetching")) {
      return;
    }
    images.add(job.bundle());
    if (cluster.checker.isDone(piece.piece)) {
      end(piece, "done");
      return;
    }
    piece.stage = "running";
    piece.onMachine = true;
    cluster.checker.started(piece.piece, name, yard, piece.attempt);
    change();
    if (!job.shape().equals("service")) {
      thread.schedule(
          () -> {
            if (pieces.get(key) == piece && piece.stage.equals("running")) {
              cluster.checker.done(piece.piece);
              end(piece, "done");
            }
          },
          (long) (job.runS() * 1000),
          TimeUnit.MILLISECONDS);
    }
  }

  private void end(Piece piece, String cause) {
    leave(piece, cause);
    piece.stage = "ended";
    piece.cause = cause;
    change();
  }
}
