import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The leader is cut from the state service and from the other controllers while workers still reach
 * it. A user cancels a job whose tasks wait for room, and is told so. Nothing of it may start then.
 */
final class StartAfterCancelCase {
  private static final int MACHINES = 3;

  private StartAfterCancelCase() {}

  private static Map<String, Object> job(
      String id, String lineup, String rank, int pieces, double cpus, double memory, double runS) {
    Map<String, Object> job = Lab.job(id, "batch", pieces, cpus, runS);
    job.put("crew", "amanzi-pay");
    job.put("lineup", lineup);
    job.put("rank", rank);
    job.put("memoryGb", memory);
    job.put("bundle", lineup.equals("settle-run") ? "img-settle" : "img-ledger");
    job.put("imageGb", lineup.equals("settle-run") ? 1.5 : 2.5);
    return job;
  }

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Lab lab =
        new Lab(
            Path.of(arguments[0]).toAbsolutePath(),
            Path.of(arguments[1]).toAbsolutePath(),
            Lab.Options.metro(MACHINES));
    lab.limit(110);
    for (int i = 0; i < MACHINES; i++) {
      lab.cloud.rent(lab.options.types.get(0), "umgeni", false, 0);
    }
    lab.startAll();
    lab.need("all controllers are up", 25, lab::allUp);
    // The machines have the image of settle-run, then ledger-sweep takes all of them.
    lab.submitUntilAccepted(job("wk-000001", "settle-run", "normal", MACHINES, 4.0, 6.6, 1.0));
    lab.need("wk-000001 ran", 40, () -> lab.world.completed.size() == MACHINES);
    Map<String, Object> sweep =
        job("wk-000002", "ledger-sweep", "idle", MACHINES, 4.0, 23.0, 600.0);
    sweep.put("bookmarkS", 15.0);
    sweep.put("stashS", 4.0);
    lab.submitUntilAccepted(sweep);
    lab.need("wk-000002 runs", 40, () -> lab.world.running("wk-000002") == MACHINES);
    Lab.pause(4);
    Map<String, Object> settle = job("wk-000003", "settle-run", "normal", 9, 1.0, 6.6, 30.0);
    settle.put("dueS", 45.0);
    lab.submitUntilAccepted(settle);
    lab.need(
        "wk-000003 is placed, and wk-000002 is told to save and make way",
        20,
        () -> lab.store.values("c/placements/").toString().contains("wk-000003"));
    Lab.pause(2);
    int leader = lab.leader();
    if (trouble) {
      lab.cutFromStateAndPeers(leader, Proxy.Mode.HOLD);
    }
    for (int i = 1; lab.world.cancelled.isEmpty() && i < 20; i++) {
      lab.cancel((leader + i % 2 + 1) % Lab.NODES, "wk-000003");
    }
    if (lab.world.cancelled.isEmpty() || !lab.world.starts.getOrDefault("wk-000003/0", 0).equals(0)) {
      lab.finish(2);
    }
    Lab.pause(10);
    lab.cutFromStateAndPeers(leader, Proxy.Mode.PASS);
    Lab.pause(5);
    lab.finish(judge(lab.world) ? 1 : 0);
  }

  /** Whether a task was told to run in the answer to a report that was sent after the user's. */
  private static boolean judge(World world) {
    synchronized (world) {
      double told = world.cancelled.get("wk-000003");
      List<String> late = new ArrayList<>();
      world.toldInAnswerTo.forEach(
          (attempt, sentAt) -> {
            String piece = attempt.substring(0, attempt.indexOf(' '));
            if (piece.startsWith("wk-000003/") && sentAt > told && world.starts.containsKey(piece)) {
              late.add("%s %.3f s".formatted(piece, sentAt - told));
            }
          });
      if (!late.isEmpty()) {
        world.breaks(
            "start after a confirmed cancellation",
            "the user was told at %.3f; run in the answer to reports sent so long after: %s"
                .formatted(told, late));
      }
      return !late.isEmpty();
    }
  }
}
