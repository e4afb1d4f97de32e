import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * A drain asks for a stop just as the state service goes out. The budget is used up by a machine
 * that hangs during the outage. When the outage is over, the drain must wait.
 */
final class DrainAfterOutageCase {
  private static final String JOB = "wk-000001";

  /** After how many reports that didn't come the service could know. */
  private static final int REPORTS_TO_NOTICE = 3;

  private DrainAfterOutageCase() {}

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Lab.Options options = Lab.Options.metro(6);
    Path root = Path.of(arguments[0]).toAbsolutePath();
    // The operators' file of the repository, whose budget is: most-down 1.
    options.operations = Files.readString(root.resolve("deploy/operations.sexp"));
    Lab lab = new Lab(root, Path.of(arguments[1]).toAbsolutePath(), options);
    lab.limit(110);
    for (String yard : List.of("umgeni", "bluff", "pinetown", "umgeni", "bluff")) {
      lab.cloud.rent(options.types.get(0), yard, false, 0);
    }
    lab.startAll();
    lab.need("all controllers are up", 25, lab::allUp);
    lab.need(
        "the level that drains need",
        30,
        () -> String.valueOf(lab.store.value("c/level")).contains("migrated=true"));
    Map<String, Object> job = Lab.job(JOB, "service", 2, 2.0, 0);
    job.put("crew", "amanzi-pay");
    job.put("lineup", "imali-gate");
    job.put("memoryGb", 8.5);
    job.put("imageGb", 1.2);
    job.put("spread", true);
    lab.submitUntilAccepted(job);
    lab.need("both replicas run", 40, () -> lab.world.running(JOB) == 2);
    Lab.pause(8);
    String drained = lab.machineOf(JOB + "/0");
    String lost = lab.machineOf(JOB + "/1");
    if (!lab.operator("drain", "start", "d1", "--machines", drained, "--hold").contains("asked")) {
      lab.finish(2);
    }
    lab.need(
        "the machine is cordoned",
        20,
        () -> lab.store.values("c/machines/").toString().matches("(?s).*" + drained + "[^]]*d1.*"));
    if (trouble) {
      lab.world.log("state service: out");
      lab.store.setOutage(true);
    }
    Lab.pause(4);
    boolean bothUp = lab.world.running(JOB) == 2;
    lab.cloud.worker(lost).hang(true);
    double lostAt = lab.world.seconds();
    Lab.pause(11);
    if (trouble) {
      lab.world.log("state service: back");
      lab.store.setOutage(false);
      if (!bothUp) {
        lab.finish(2);
      }
    }
    Lab.pause(25);
    lab.cloud.worker(lost).hang(false);
    Lab.pause(3);
    lab.finish(judge(lab, drained, lost, lostAt) ? 1 : 0);
  }

  /** Whether the drain stopped the last replica although it could be known that the other is down. */
  private static boolean judge(Lab lab, String drained, String lost, double lostAt) {
    Double killedAt = lab.world.killed.get(JOB + "/0 on " + drained);
    double replacedAt = lab.world.firstStartElsewhere(JOB + "/1", lost);
    double known = lostAt + REPORTS_TO_NOTICE * lab.options.reportS;
    lab.world.log(
        "hangs at %.1f, drain stops the other at %s, its task runs again at %.1f"
            .formatted(lostAt, killedAt, replacedAt));
    boolean broken = killedAt != null && killedAt > known && killedAt < replacedAt;
    if (broken) {
      lab.world.breaks(
          "budget of disruption",
          ("the drain stops the last replica %.1f s after the other's machine hung: two of two are down,"
                  + " the budget is most-down 1")
              .formatted(killedAt - lostAt));
    }
    return broken;
  }
}
