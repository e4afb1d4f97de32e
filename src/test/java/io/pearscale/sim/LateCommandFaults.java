package io.pearscale.sim;

import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Adds late copies of executed commands to the scenario of a seed: some follow each command, and
 * others arrive all together, at random times and within a second after a controller or a machine
 * was restarted or a job was cancelled. In a third of the scenarios an agent loses its tasks, but
 * neither its incarnation nor its fencing token.
 */
final class LateCommandFaults {
  private static final Pattern EVENT_THAT_COPIES_FOLLOW =
      Pattern.compile("(?m)^at ([0-9.]+) (crash|start|reboot|cancel) .*$");

  private static final int LAST_COPY_SECOND = 140;

  /** Number of machines, from the first one on, of which one may lose its tasks. */
  private static final int MACHINES = 4;

  private LateCommandFaults() {}

  /** Returns the scenario with the additional faults, the same text for the same seed. */
  static String addTo(String scenario, long seed) {
    RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed * 122949823);
    ScenarioText faults = new ScenarioText();
    faults.event(
        0.5, "repeat-commands %.2f %.1f", random.nextDouble(), 10 + random.nextDouble() * 110);
    for (int i = 0; i < 3; i++) {
      faults.event(10 + random.nextDouble() * (LAST_COPY_SECOND - 10), "deliver-command-copies");
    }
    if (random.nextInt(3) == 0) {
      double at = 10 + random.nextDouble() * 80;
      faults.event(at, "lose-tasks m-%06d", random.nextInt(MACHINES));
      faults.event(at + random.nextDouble(), "deliver-command-copies");
    }
    Matcher events = EVENT_THAT_COPIES_FOLLOW.matcher(scenario);
    while (events.find()) {
      if (random.nextInt(3) == 0) {
        double at = Double.parseDouble(events.group(1)) + random.nextDouble();
        faults.event(at, "deliver-command-copies");
      }
    }
    return scenario.replaceFirst("nodes 3\n", "nodes 3\n" + faults);
  }
}
