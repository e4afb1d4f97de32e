package io.pearscale.sim;

import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * Writes days on which users cancel many jobs at once while messages are lost and several things
 * fail together. All tasks run for longer than the day, so that whatever a cancel fails to stop
 * goes on until the world's checker finds it.
 */
final class CancellationScenarioGenerator {
  private static final int FIRST_CANCEL = 24;
  private static final int LAST_TROUBLE = 80;
  private static final int END = 150;

  private final RandomGenerator random;
  private final StringBuilder text = new StringBuilder();
  private final int machines;
  private final int jobs;

  private CancellationScenarioGenerator(long seed, int machines) {
    this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed * 6007 + machines);
    this.machines = machines;
    this.jobs = machines / 2;
  }

  /** A day on so many machines, the same for the same seed. */
  static String day(long seed, int machines) {
    return new CancellationScenarioGenerator(seed, machines).write();
  }

  private String write() {
    text.append("nodes 3\nzones a b\ntype small cpus=8 mem=64 boot=5\n")
        .append("machines small a ordinary %d\n".formatted(machines / 2))
        .append("machines small b ordinary %d\n".formatted(machines - machines / 2))
        .append("drift hive-0 1.0005\ndrift hive-1 0.9995\n")
        .append("team t\nteam u cpus_max=%d\n".formatted(2 * machines));
    submissions();
    cancels();
    int troubles = 2 + random.nextInt(3);
    for (int i = 0; i < troubles; i++) {
      trouble(FIRST_CANCEL - 4 + random.nextDouble() * 30);
    }
    return text.append("until " + END + "\n").toString();
  }

  private void submissions() {
    for (int i = 0; i < jobs; i++) {
      boolean saves = random.nextInt(3) == 0;
      text.append(
              "at %.2f submit wk-%d %s tasks=%d cpus=%d run=400"
                  .formatted(
                      1 + random.nextDouble() * 8,
                      i,
                      random.nextInt(3) == 0 ? "service" : "batch",
                      1 + random.nextInt(5),
                      1 + random.nextInt(3)))
          .append(saves ? " checkpoint=5 save=%d".formatted(1 + random.nextInt(12)) : "")
          .append(random.nextInt(3) == 0 ? " team=u" : "")
          .append(" image=i%d\n".formatted(random.nextInt(5)));
    }
  }

  /** Most of the cancels come within a second or two, the others at any time. */
  private void cancels() {
    double burst = FIRST_CANCEL + random.nextDouble() * 12;
    for (int i = 0; i < jobs; i++) {
      int kind = random.nextInt(4);
      double at = kind < 2 ? burst + random.nextDouble() * 2 : burst + random.nextDouble() * 40;
      if (kind < 3) {
        text.append("at %.2f cancel wk-%d\n".formatted(at, i));
      }
    }
  }

  private void trouble(double at) {
    double end = Math.min(LAST_TROUBLE, at + 5 + random.nextDouble() * 35);
    String node = random.nextBoolean() ? "leader-if-any" : "hive-" + random.nextInt(3);
    String hold = random.nextBoolean() ? " hold" : "";
    switch (random.nextInt(14)) {
      case 0 ->
          spell(at, "lose-heartbeat-responses %.2f".formatted(random.nextDouble() * 0.7), end);
      case 1 -> spell(at, "lose-commands %.2f".formatted(0.3 + random.nextDouble() * 0.7), end);
      case 2 ->
          spell(
              at, "processing-time all %.4f".formatted(random.nextDouble() * 0.06 / machines), end);
      case 3 -> spell(at, "network-latency %.2f".formatted(random.nextDouble() * 2.2), end);
      case 4 -> spell(at, "store-latency %.2f".formatted(random.nextDouble() * 1.4), end);
      case 5 -> line(at, "delay-commands %d %.2f", machines, 2 + random.nextDouble() * 14);
      case 6 -> line(at, "freeze %s %.2f before-send", node, 1 + random.nextDouble() * 20);
      case 7 -> restart(node, at, end);
      case 8 -> pair(at, end, "cut", "heal", node + " state" + hold, node + " state");
      case 9 -> pair(at, end, "cut", "heal", node + " workers" + hold, node + " workers");
      case 10 -> pair(at, end, "refuse-store-client", "accept-store-client", node, node);
      case 11 -> pair(at, end, "down", "up", "state", "state");
      case 12 -> machines(at, end, "hang-within-lease", "resume", "");
      default -> {
        machines(at, end, "cut", "heal", " all" + hold);
        machines(at, end, "cut-controller-to-agent", "heal-controller-to-agent", "");
      }
    }
  }

  private void line(double at, String format, Object... values) {
    text.append("at %.2f ".formatted(at)).append(format.formatted(values)).append('\n');
  }

  /** A verb with a figure, which is 0 again at the end. */
  private void spell(double at, String words, double end) {
    line(at, "%s", words);
    line(end, "%s 0", words.substring(0, words.lastIndexOf(' ')));
  }

  private void restart(String node, double at, double end) {
    line(at, "alias %s restarted%.0f", node, at);
    line(at, "crash restarted%.0f", at);
    line(random.nextBoolean() ? at + 0.3 : end, "start restarted%.0f", at);
  }

  private void pair(
      double at, double end, String begins, String ends, String what, String afterwards) {
    String host = what.split(" ")[0];
    String called = "host%.0f".formatted(at * 100);
    boolean leader = host.equals("leader-if-any");
    if (leader) {
      line(at, "alias leader-if-any %s", called);
    }
    line(at, "%s %s", begins, leader ? what.replace(host, called) : what);
    line(end, "%s %s", ends, leader ? afterwards.replace(host, called) : afterwards);
  }

  private void machines(double at, double end, String begins, String ends, String rest) {
    int count = 1 + random.nextInt(Math.max(2, machines / 4));
    for (int i = 0; i < count; i++) {
      String name = "m-%06d".formatted(random.nextInt(machines));
      line(at, "%s %s%s", begins, name, rest);
      line(end, "%s %s%s", ends, name, rest.replace(" hold", ""));
    }
  }
}
