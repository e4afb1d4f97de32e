import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** An array of very many small tasks, which all fit on a machine. Each must run to completion. */
final class ManySmallTasksCase {
  private static final String JOB = "wk-000001";
  private static final double RUN_S = 50.0;

  private ManySmallTasksCase() {}

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Lab.Options options = new Lab.Options();
    options.capacity = 2;
    options.types = List.of(Lab.Options.type("volcan", 64, 256, 4.07, 1.57, List.of("liberia")));
    Lab lab =
        new Lab(
            Path.of(arguments[0]).toAbsolutePath(), Path.of(arguments[1]).toAbsolutePath(),
            options);
    lab.limit(115);
    lab.cloud.rent(options.types.get(0), "liberia", false, 0);
    lab.cloud.rent(options.types.get(0), "liberia", false, 0);
    lab.startAll();
    lab.need("all controllers are up", 25, lab::allUp);
    int pieces = trouble ? 2500 : 250;
    Map<String, Object> job = Lab.job(JOB, "batch", pieces, trouble ? 0.025 : 0.25, RUN_S);
    job.put("lineup", "gran-glosario");
    job.put("rank", "idle");
    job.put("memoryGb", trouble ? 0.09 : 0.9);
    if (!lab.submitUntilAccepted(job)) {
      lab.finish(2);
    }
    double accepted = lab.world.seconds();
    lab.need("all tasks run at once", 30, () -> lab.world.running(JOB) == pieces);
    double until = accepted + 100;
    boolean done =
        lab.waitFor(
            "the job is done",
            until - lab.world.seconds(),
            () -> {
              Lab.pause(3);
              return "done".equals(lab.poll(0, JOB).map().get("stage"));
            });
    synchronized (lab.world) {
      int starts = lab.world.starts.values().stream().mapToInt(Integer::intValue).sum();
      lab.world.log(
          "%d tasks, %d starts, %d completed".formatted(pieces, starts, lab.world.completed.size()));
      if (!done) {
        lab.world.breaks(
            "an accepted job must run",
            "%.0f s after all tasks of %.0f s could run at once, %d of %d have completed"
                .formatted(
                    lab.world.seconds() - accepted, RUN_S, lab.world.completed.size(), pieces));
      }
    }
    lab.finish(done ? 0 : 1);
  }
}
