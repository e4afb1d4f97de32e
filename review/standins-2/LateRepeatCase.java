import java.nio.file.Path;
import java.util.Map;

/**
 * The leader's process ends, and a repeat of a direct command that was carried out long ago follows.
 * It names a task that was done and forgotten, of a job that was cancelled since.
 */
final class LateRepeatCase {
  private static final String JOB = "wk-000001";

  private LateRepeatCase() {}

  private static Map<String, Object> job(String id, int pieces, double cpus, double runS) {
    Map<String, Object> job = Lab.job(id, "batch", pieces, cpus, runS);
    job.put("crew", "amanzi-pay");
    job.put("lineup", "settle-run");
    job.put("memoryGb", 6.6);
    job.put("imageGb", 1.5);
    return job;
  }

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Lab lab =
        new Lab(
            Path.of(arguments[0]).toAbsolutePath(), Path.of(arguments[1]).toAbsolutePath(),
            Lab.Options.metro(2));
    lab.limit(115);
    for (int i = 0; i < 2; i++) {
      lab.cloud.rent(lab.options.types.get(0), "umgeni", false, 0);
    }
    lab.startAll();
    lab.need("all controllers are up", 25, lab::allUp);
    // One task runs for a second, the other for long, on two machines.
    Map<String, Object> job = job(JOB, 2, 3.0, 600.0);
    job.put("realS/0", 1.0);
    lab.submitUntilAccepted(job);
    lab.need("a task is done", 40, () -> lab.world.completed.contains(JOB + "/0"));
    String name = lab.world.doneOn.get(JOB + "/0");
    Worker worker = lab.cloud.worker(name);
    lab.need("it is forgotten", 30, () -> !worker.lists(JOB + "/0"));
    Map<?, ?> command = worker.executedRunOf(JOB + "/0");
    if (command == null) {
      lab.world.log("it was started by an answer to a report, which can't be late");
      lab.finish(2);
    }
    // Another job keeps the machine in use.
    lab.submitUntilAccepted(job("wk-000002", 1, 1.0, 600.0));
    lab.need("wk-000002 runs", 30, () -> lab.world.running("wk-000002") == 1);
    for (int i = 0; lab.world.cancelled.isEmpty() && i < 20; i++) {
      lab.cancel(i % Lab.NODES, JOB);
    }
    Lab.pause(lab.options.cancelS + 2);
    int leader = lab.leader();
    if (trouble) {
      lab.kill(leader);
      Http.Reply reply = Http.call(worker.port, "POST", "/do", command, 4000);
      lab.world.log("repeat of a direct command to " + name + ": " + reply.status());
    }
    Lab.pause(5);
    if (trouble) {
      lab.start(leader);
    }
    Lab.pause(10);
    boolean broken = false;
    synchronized (lab.world) {
      double told = lab.world.cancelled.get(JOB);
      Double last = lab.world.lastStart.get(JOB + "/0");
      if (last != null && last > told + lab.options.cancelS) {
        lab.world.breaks(
            "ran_cancelled",
            "%s/0 starts %.1f s after the user was told (limit %.1f s)"
                .formatted(JOB, last - told, lab.options.cancelS));
        broken = true;
      }
    }
    lab.finish(broken || lab.world.isBroken("ran_cancelled") ? 1 : 0);
  }
}
