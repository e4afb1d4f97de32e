import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * A zone with workers and the leading controller is cut off from everything. Right after a new
 * leader has acted, earlier reports of the cut workers arrive once more.
 */
final class ZoneCutCase {
  private static final String[] ZONES = {"umgeni", "bluff", "pinetown"};

  private ZoneCutCase() {}

  public static void main(String[] arguments) throws Exception {
    Path repository = Path.of(arguments[0]);
    Path recordFile = Path.of(arguments[1]);
    String trouble = arguments[2];
    int exit = 2;
    try (Cluster cluster =
        new Cluster(repository, recordFile, ZONES, 0.255, 2.5, 16, 36, /* spareMachines= */ 0)) {
      try {
        exit = play(cluster, trouble);
      } catch (Exception e) {
        cluster.record.line("could not run: " + e);
        e.printStackTrace();
      }
      cluster.copyLogs(
          "event=elected",
          "event=leadership_lost",
          "event=takeover",
          "event=lease_expired",
          "event=task_absence_proved",
          "event=previous_leader",
          "event=scale_in",
          "ERROR");
      cluster.record.line("exit " + exit);
    }
    System.exit(exit);
  }

  private static int play(Cluster cluster, String trouble) throws Exception {
    boolean cut = !trouble.equals("0");
    boolean late = cut && !trouble.equals("cut");
    // The first controller leads: it is up before the others.
    cluster.start(0);
    cluster.awaitUp(0, 20);
    cluster.start(1);
    cluster.start(2);
    cluster.awaitUp(1, 20);
    cluster.awaitUp(2, 20);
    // Four machines a zone, up at the start. Those of umgeni report to hive-2 at first.
    for (int i = 0; i < 12; i++) {
      cluster.addMachine(ZONES[i % 3], i % 3 == 0 ? 2 : 1);
    }
    Thread.sleep(2000);
    Map<String, Object> body =
        Pack.map(
            "uid", "wk-000101", "lineup", "settle-run", "crew", "amanzi-pay", "shape", "batch",
            "rank", "normal", "pieces", 36, "vcpus", 1.0, "accelerators", 0.0, "memoryGb", 6.6,
            "bundle", "img-01", "imageGb", 0.5, "breeds", null, "yard", null, "oneZone", false,
            "spread", false, "windfall", true, "guessS", 60.0, "bookmarkS", 0.0, "stashS", 0.0,
            "dueS", 300.0);
    Cluster.Job job =
        new Cluster.Job("wk-000101", "batch", 36, 1.0, 6.6, "img-01", 0.5, 60, body);
    if (!cluster.submit(job, 1)) {
      cluster.record.line("could not run: the job was not accepted");
      return 2;
    }
    double startBy = cluster.record.seconds() + 20;
    while (cluster.checker.starts() < 36 && cluster.record.seconds() < startBy) {
      Thread.sleep(100);
    }
    List<Worker> inside =
        cluster.workers().stream().filter(worker -> worker.yard.equals(ZONES[0])).toList();
    int runningInside = inside.stream().mapToInt(w -> cluster.checker.on(w.name)).sum();
    cluster.record.line(
        "tasks started: " + cluster.checker.starts() + ", on machines in umgeni: " + runningInside);
    if (runningInside == 0) {
      return 2;
    }
    Thread.sleep(6000);
    List<Map<String, Object>> earlier = inside.stream().map(Worker::lastAnswered).toList();
    List<Integer> sentTo = inside.stream().map(Worker::lastAnsweredBy).toList();
    long tokenBefore = cluster.highestToken();
    if (cut) {
      cluster.cut(ZONES[0]);
    }
    double cutAt = cluster.record.seconds();
    boolean delivered = false;
    while (cluster.record.seconds() < cutAt + 38) {
      Thread.sleep(100);
      // Tokens of another leader: seen by a worker outside the cut zone.
      if (late && !delivered && newLeaderActs(cluster, tokenBefore)) {
        delivered = true;
        cluster.record.line(
            "a new leader has acted: token " + cluster.highestToken() + ", "
                + cluster.highestTokenSeenBy());
        Thread.sleep(300);
        for (int i = 0; i < inside.size(); i++) {
          if (sentTo.get(i) != 0 && sentTo.get(i) >= 0) {
            Map<String, Object> report = earlier.get(i);
            int status =
                cluster.deliverLate(sentTo.get(i), "/checkin", report).join().status();
            cluster.record.line(
                "LATE COPY of report " + report.get("tally") + " of " + report.get("hive")
                    + " arrives at hive-" + sentTo.get(i) + " -> " + status
                    + " (the answer reaches nobody)");
          }
        }
      }
      if (!cluster.checker.ranTwice().isEmpty()
          && cluster.record.seconds() > cutAt + 36) {
        break;
      }
    }
    for (int i = cut ? 1 : 0; i < 3; i++) {
      cluster.ask("wk-000101", i);
    }
    if (late && !delivered) {
      cluster.record.line("could not run: no new leader acted");
      return 2;
    }
    if (!cluster.allAlive()) {
      cluster.record.line("a controller has ended by itself");
    }
    List<String> broken = cluster.checker.ranTwice();
    cluster.record.line("ran_twice: " + broken.size() + " times " + broken);
    System.out.println("ran_twice: " + broken.size() + " times");
    return broken.isEmpty() ? 0 : 1;
  }

  /** Returns whether a worker outside the cut zone has a clearly newer leader's token. */
  private static boolean newLeaderActs(Cluster cluster, long tokenBefore) {
    return cluster.workers().stream()
        .anyMatch(w -> !w.yard.equals(ZONES[0]) && w.lastBaton() > tokenBefore + 1000);
  }
}
