import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** One machine's worker: reports, executes commands and runs tasks, as the protocol says. */
final class Worker {
  static final class Piece {
    final String name;
    final long attempt;
    String stage = "fetching";
    String cause = "";
    boolean stored;
    long readyAt;
    long endsAt = Long.MAX_VALUE;

    Piece(String name, long attempt) {
      this.name = name;
      this.attempt = attempt;
    }
  }

  final String name;
  final int port;
  final String yard;
  final boolean windfall;
  final Map<String, Object> type;
  private final World world;
  private final int[] nodePorts;
  private final double reportS;
  private final long leaseMs;
  private final double fetchGbPerS;
  private final HttpServer server;
  private final List<Piece> pieces = new ArrayList<>();
  private final Set<String> images = new HashSet<>();
  private final Set<String> doneBefore = new HashSet<>();

  /** The direct commands that were executed, as they came. */
  private final List<Map<?, ?>> executed = new ArrayList<>();
  private long stint = 1;
  private long tally;
  private long baton;
  private long leaseFrom = now();
  private long shownBaton;
  private boolean changed = true;
  private boolean dead;
  private boolean hanging;
  private int node;

  /** When the last report was answered with 200, in seconds. */
  volatile double answeredAt;

  /** A direct command that tells this machine to run that task is held up until released. */
  volatile String heldRun = "";

  /** When a direct command began to be held up, in seconds; 0 if none was. */
  volatile double heldRunSince;

  /** The connection of the next report is reset when the answer is under way. */
  volatile boolean loseNextAnswer;

  /** When the connection of a report was reset, in seconds; 0 if none was. */
  volatile double answerLostAt;

  /** How long the answer to the next report is held up, in milliseconds. */
  volatile int holdNextAnswerMs;

  /** When an answer began to be held up, in seconds; 0 if none was. */
  volatile double answerHeldSince;

  Worker(
      World world, String name, int port, String yard, boolean windfall, Map<String, Object> type,
      int[] nodePorts, double reportS, double leaseS, int firstNode) throws IOException {
    this.world = world;
    this.name = name;
    this.port = port;
    this.yard = yard;
    this.windfall = windfall;
    this.type = type;
    this.nodePorts = nodePorts;
    this.reportS = reportS;
    this.leaseMs = (long) (leaseS * 1000);
    this.fetchGbPerS = ((Number) type.get("fetchGbPerS")).doubleValue();
    this.node = firstNode;
    this.server = Http.serve(port, this::answer);
    daemon(this::reportLoop);
    daemon(this::taskLoop);
  }

  private static void daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  private static void sleep(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** The machine stops with all that is on it. */
  synchronized void die(String why) {
    if (dead) {
      return;
    }
    dead = true;
    server.stop(0);
    pieces.forEach(piece -> world.ends(piece.name, name, why));
    pieces.clear();
    world.log("machine " + name + " is gone: " + why);
    notifyAll();
  }

  synchronized boolean isDead() {
    return dead;
  }

  /** A hanging machine executes nothing, and may go on later. */
  synchronized void hang(boolean on) {
    hanging = on;
    world.log("machine " + name + (on ? " hangs" : " goes on"));
    if (!on) {
      checkLease();
      notifyAll();
    }
  }

  private synchronized void awaitAwake() throws InterruptedException {
    while (hanging && !dead) {
      wait();
    }
  }

  private synchronized Map<String, Object> report() {
    List<Object> list = new ArrayList<>();
    for (Piece piece : pieces) {
      Map<String, Object> entry =
          Pack.map("piece", piece.name, "try", piece.attempt, "stage", piece.stage);
      if (piece.stage.equals("ended")) {
        entry.put("cause", piece.cause);
        if (piece.stored) {
          entry.put("stored", true);
        }
      }
      list.add(entry);
    }
    shownBaton = baton;
    return Pack.map(
        "hive", name, "address", "127.0.0.1:" + port, "breed", type.get("sku"), "yard", yard,
        "windfall", windfall, "stint", stint, "tally", ++tally, "baton", baton, "warningS", null,
        "pieces", list);
  }

  private void reportLoop() {
    long lastReport = 0;
    while (true) {
      long due = lastReport + (long) (reportS * 1000 * (0.75 + Math.random() * 0.5));
      synchronized (this) {
        while (!dead && (hanging || now() < due)) {
          boolean early = !hanging && (changed || shownBaton < baton) && now() >= lastReport + 500;
          if (early) {
            break;
          }
          try {
            wait(50);
          } catch (InterruptedException e) {
            return;
          }
        }
        if (dead) {
          return;
        }
        changed = false;
      }
      lastReport = now();
      sendReport();
    }
  }

  private void sendReport() {
    long sentAt;
    long session;
    Map<String, Object> body;
    double sentSeconds;
    synchronized (this) {
      checkLease();
      sentSeconds = world.seconds();
      sentAt = now();
      session = stint;
      body = report();
    }
    int target = node;
    Http.Reply reply = Http.call(nodePorts[target], "POST", "/checkin", body, 4000);
    if (loseNextAnswer) {
      loseNextAnswer = false;
      world.log(
          "network: " + name + " loses the answer to its report: " + reply.status() + " "
              + reply.body());
      reply = new Http.Reply(0, null);
      answerLostAt = world.seconds();
    } else if (holdNextAnswerMs > 0) {
      world.log(
          "network: the answer to " + name + " (token " + body.get("baton") + ") is held up: " + reply.status() + " "
              + reply.body());
      answerHeldSince = world.seconds();
      int wait = holdNextAnswerMs;
      holdNextAnswerMs = 0;
      sleep(wait);
    }
    try {
      awaitAwake();
    } catch (InterruptedException e) {
      return;
    }
    if (now() > sentAt + 4000) {
      reply = new Http.Reply(0, null);
    }
    if (reply.status() == 200) {
      synchronized (this) {
        checkLease();
        Object given = reply.map().get("baton");
        if (session == stint && !dead && given instanceof Number n && n.longValue() >= baton) {
          baton = n.longValue();
          leaseFrom = sentAt;
          answeredAt = world.seconds();
          List<?> orders = (List<?>) reply.map().getOrDefault("orders", List.of());
          noteRuns(orders, sentSeconds);
          execute(orders, "report");
        }
      }
      return;
    }
    if (reply.status() == 421 && reply.map().get("foreman") instanceof String foreman) {
      int named = foreman.charAt(foreman.length() - 1) - '0';
      if (named != target && named >= 0 && named < nodePorts.length) {
        node = named;
        sleep((long) (Math.random() * 500));
        sendReportAgain();
        return;
      }
    }
    sleep(1000);
    node = (target + 1) % nodePorts.length;
    sendReportAgain();
  }

  private void noteRuns(List<?> orders, double sentSeconds) {
    synchronized (world) {
      for (Object o : orders) {
        Map<?, ?> order = (Map<?, ?>) o;
        if (order.get("verb").equals("run")) {
          world.toldInAnswerTo.put(order.get("piece") + " try " + order.get("try"), sentSeconds);
        }
      }
    }
  }

  private void sendReportAgain() {
    synchronized (this) {
      changed = true;
    }
  }

  /** When the lease is over: all tasks end, and the next session begins. */
  private synchronized void checkLease() {
    if (!dead && now() > leaseFrom + leaseMs) {
      world.log("machine " + name + " session " + stint + " is over");
      pieces.forEach(piece -> world.ends(piece.name, name, "lease"));
      pieces.clear();
      stint++;
      leaseFrom = now();
      changed = true;
    }
  }

  private void taskLoop() {
    while (true) {
      sleep(20);
      synchronized (this) {
        if (dead) {
          return;
        }
        if (hanging) {
          continue;
        }
        checkLease();
        for (Piece piece : pieces) {
          if (piece.stage.equals("fetching") && now() >= piece.readyAt) {
            images.add((String) world.description(World.jobOf(piece.name)).get("bundle"));
            begin(piece);
          } else if (piece.stage.equals("running") && now() >= piece.endsAt) {
            end(piece, "done");
          } else if (piece.stage.equals("flushing") && now() >= piece.readyAt) {
            piece.stored = true;
            end(piece, "stopped");
          }
        }
      }
    }
  }

  private void begin(Piece piece) {
    Map<String, Object> job = world.description(World.jobOf(piece.name));
    piece.stage = "running";
    changed = true;
    world.begins(piece.name, name, piece.attempt);
    if (job.containsKey("realError")) {
      end(piece, "error");
      return;
    }
    if (job.get("shape").equals("batch")) {
      String own = "realS" + piece.name.substring(piece.name.indexOf('/'));
      double run = ((Number) job.getOrDefault(own, job.get("realS"))).doubleValue();
      piece.endsAt = doneBefore.contains(piece.name) ? now() : now() + (long) (run * 1000);
    }
  }

  private void end(Piece piece, String cause) {
    if (cause.equals("done")) {
      doneBefore.add(piece.name);
    }
    piece.stage = "ended";
    piece.cause = cause;
    changed = true;
    world.ends(piece.name, name, cause);
  }

  private Http.Reply answer(String method, String path, String query, Object body)
      throws InterruptedException {
    if (path.equals("/do") && tellsToRun((Map<?, ?>) body, heldRun)) {
      world.log("network: a direct command to " + name + " is held up: " + body);
      heldRunSince = world.seconds();
      while (!heldRun.isEmpty()) {
        Thread.sleep(10);
      }
    }
    awaitAwake();
    synchronized (this) {
      if (dead) {
        return null;
      }
      checkLease();
      if (path.equals("/status")) {
        return new Http.Reply(200, report());
      }
      Map<?, ?> map = (Map<?, ?>) body;
      if (!(map.get("baton") instanceof Number) || !(map.get("stint") instanceof Number)) {
        return new Http.Reply(400, Pack.map("error", "missing"));
      }
      long given = ((Number) map.get("baton")).longValue();
      if (given < baton || ((Number) map.get("stint")).longValue() != stint) {
        return new Http.Reply(409, report());
      }
      baton = given;
      executed.add(map);
      execute(map.get("orders") == null ? List.of() : (List<?>) map.get("orders"), "do");
      return new Http.Reply(200, report());
    }
  }

  private static boolean tellsToRun(Map<?, ?> command, String piece) {
    for (Object o : (List<?>) command.get("orders")) {
      Map<?, ?> order = (Map<?, ?>) o;
      if (order.get("verb").equals("run") && order.get("piece").equals(piece)) {
        return true;
      }
    }
    return false;
  }

  /** The direct command that told this machine to run a task, or null. */
  synchronized Map<?, ?> executedRunOf(String piece) {
    for (Map<?, ?> command : executed) {
      if (tellsToRun(command, piece)) {
        return command;
      }
    }
    return null;
  }

  /** Whether a report of this machine would list an attempt of the task. */
  synchronized boolean lists(String piece) {
    return pieces.stream().anyMatch(p -> p.name.equals(piece));
  }

  private double used(String field) {
    double sum = 0;
    for (Piece piece : pieces) {
      if (!piece.stage.equals("ended")) {
        Map<String, Object> job = world.description(World.jobOf(piece.name));
        sum += ((Number) job.get(field)).doubleValue();
      }
    }
    return sum;
  }

  private void execute(List<?> orders, String way) {
    for (Object o : orders) {
      Map<?, ?> order = (Map<?, ?>) o;
      String piece = (String) order.get("piece");
      long attempt = ((Number) order.get("try")).longValue();
      world.log(way + " " + name + " " + order.get("verb") + " " + piece + " try " + attempt);
      switch ((String) order.get("verb")) {
        case "run" -> run(piece, attempt);
        case "kill" -> kill(piece, attempt, order.get("leewayS"));
        case "clear" -> clear(piece, attempt);
        default -> throw new IllegalArgumentException("order " + order);
      }
    }
  }

  private void run(String name, long attempt) {
    Piece added = new Piece(name, attempt);
    for (Piece piece : pieces) {
      if (piece.name.equals(name) && piece.attempt == attempt) {
        return;
      }
      if (piece.name.equals(name) && !piece.stage.equals("ended")) {
        added.stage = "ended";
        added.cause = "busy";
      }
    }
    changed = true;
    Map<String, Object> job = world.description(World.jobOf(name));
    if (added.stage.equals("fetching")) {
      if (job == null) {
        added.stage = "ended";
        added.cause = "no_such";
      } else if (used("vcpus") + num(job, "vcpus") > num(type, "vcpus") + 1e-6
          || used("memoryGb") + num(job, "memoryGb") > num(type, "memoryGb") + 1e-6) {
        added.stage = "ended";
        added.cause = "no_room";
      }
    }
    pieces.add(added);
    if (added.stage.equals("fetching")) {
      boolean cached = images.contains((String) job.get("bundle"));
      added.readyAt = now() + (cached ? 0 : (long) (num(job, "imageGb") / fetchGbPerS * 1000));
      if (cached) {
        begin(added);
      }
    }
  }

  private static double num(Map<String, Object> map, String field) {
    return ((Number) map.get(field)).doubleValue();
  }

  private void kill(String name, long attempt, Object leeway) {
    for (Piece piece : pieces) {
      if (piece.name.equals(name) && piece.attempt == attempt && !piece.stage.equals("ended")) {
        Map<String, Object> job = world.description(World.jobOf(name));
        synchronized (world) {
          world.killed.putIfAbsent(name + " on " + this.name, world.seconds());
        }
        double leewayS = leeway instanceof Number n ? n.doubleValue() : 0;
        boolean saves = num(job, "bookmarkS") > 0 && leewayS >= num(job, "stashS");
        if (piece.stage.equals("running") && saves) {
          piece.stage = "flushing";
          piece.readyAt = now() + (long) (num(job, "stashS") * 1000);
          changed = true;
        } else if (!piece.stage.equals("flushing") || leewayS == 0) {
          end(piece, "stopped");
        }
      }
    }
  }

  private void clear(String name, long attempt) {
    for (Iterator<Piece> i = pieces.iterator(); i.hasNext(); ) {
      Piece piece = i.next();
      if (piece.name.equals(name) && piece.attempt == attempt && piece.stage.equals("ended")) {
        i.remove();
        changed = true;
      }
    }
  }
}
