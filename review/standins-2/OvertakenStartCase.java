import java.nio.file.Path;
import java.util.Map;

/**
 * A start is sent again in the answer to a report, and that answer is held up. A direct command that
 * overtakes it shows the worker a token which the leader takes as proof that the start is void.
 */
final class OvertakenStartCase {
  private static final String OTHER = "wk-000001";
  private static final String SERVICE = "wk-000002";
  private static final String MISTAKEN = "wk-000003";
  private static final String TWICE = "wk-000004";

  private OvertakenStartCase() {}

  private static Map<String, Object> job(String id, String shape, double cpus) {
    Map<String, Object> job = Lab.job(id, shape, 1, cpus, shape.equals("batch") ? 600.0 : 0);
    job.put("crew", "amanzi-pay");
    job.put("lineup", shape.equals("batch") ? "settle-run" : "imali-gate");
    job.put("memoryGb", 6.6);
    return job;
  }

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Lab lab =
        new Lab(
            Path.of(arguments[0]).toAbsolutePath(), Path.of(arguments[1]).toAbsolutePath(),
            Lab.Options.metro(2));
    World world = lab.world;
    lab.limit(110);
    lab.cloud.rent(lab.options.types.get(0), "umgeni", false, 0);
    lab.cloud.rent(lab.options.types.get(0), "bluff", false, 0);
    lab.startAll();
    lab.need("all controllers are up", 25, lab::allUp);
    lab.submitUntilAccepted(job(OTHER, "batch", 4.0));
    lab.need("one machine is full", 40, () -> world.running(OTHER) == 1);
    lab.submitUntilAccepted(job(SERVICE, "service", 1.0));
    lab.need("the service runs on the other one", 40, () -> world.running(SERVICE) == 1);
    Worker worker = lab.cloud.worker(lab.machineOf(SERVICE + "/0"));
    Lab.pause(4);
    // A job with a mistake comes after a report, and its start is held up on the way.
    double before = worker.answeredAt;
    lab.need("a report is answered", 10, () -> worker.answeredAt > before);
    if (trouble) {
      worker.heldRun = MISTAKEN + "/0";
    }
    Map<String, Object> mistaken = job(MISTAKEN, "batch", 1.0);
    mistaken.put("realError", true);
    lab.submitUntilAccepted(mistaken);
    if (trouble) {
      lab.need("its start is held up", 10, () -> worker.heldRunSince > 0);
    }
    lab.submitUntilAccepted(job(TWICE, "batch", 2.0));
    if (trouble) {
      lab.need(
          "the next job has its place",
          10,
          () -> lab.store.values("c/placements/").toString().contains(TWICE));
      worker.loseNextAnswer = true;
      lab.need("an answer is lost", 8, () -> worker.answerLostAt > 0);
      worker.holdNextAnswerMs = 3300;
      Lab.pause(0.3);
      worker.heldRun = "";
    } else {
      Lab.pause(4);
    }
    if (trouble) {
      lab.need("the next answer is held up", 10, () -> worker.answerHeldSince > 0);
    } else {
      Lab.pause(1);
    }
    lab.cancel(0, SERVICE);
    lab.need("it is told to end", 8, () -> world.killed.containsKey(SERVICE + "/0 on " + worker.name));
    lab.cancel(0, OTHER);
    lab.need("the next job runs", 20, () -> world.starts.containsKey(TWICE + "/0"));
    Lab.pause(12);
    lab.finish(world.isBroken("ran_twice") ? 1 : 0);
  }
}
