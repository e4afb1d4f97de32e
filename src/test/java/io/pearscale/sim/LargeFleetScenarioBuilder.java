package io.pearscale.sim;

import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/** Builds the text of a scenario on a large fleet, the same for the same arguments. */
final class LargeFleetScenarioBuilder {
  private static final int IMAGES = 16;

  private final RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(7);
  private final StringBuilder text = new StringBuilder("nodes 3\nteam t\nclass web wait 2\n");
  private final StringBuilder expectations = new StringBuilder();

  /** Starts with the same number of running machines in each zone, numbered zone by zone. */
  LargeFleetScenarioBuilder(List<String> zones, int machinesPerZone) {
    text.append("zones " + String.join(" ", zones) + "\n");
    text.append("type big cpus=32 mem=256 boot=5\n");
    for (String zone : zones) {
      text.append("machines big %s ordinary %d\n".formatted(zone, machinesPerZone));
      text.append("capacity big %s ordinary %d\n".formatted(zone, machinesPerZone));
    }
  }

  /** Adds services of 4, 8 or 12 replicas; all replicas must be running at the end. */
  LargeFleetScenarioBuilder services(int count, double firstAt, double interval) {
    for (int i = 0; i < count; i++) {
      int tasks = 4 + 4 * random.nextInt(3);
      addLine(
          "at %.2f submit wk-s%d service tasks=%d cpus=4 spread class=web image=i%d"
              .formatted(firstAt + i * interval, i, tasks, random.nextInt(IMAGES)));
      addExpectation("wk-s%d present %d".formatted(i, tasks));
    }
    return this;
  }

  /** Adds batch jobs of 10 to 69 short tasks; each job must be done at the end. */
  LargeFleetScenarioBuilder arrays(int count, double firstAt, double interval) {
    for (int i = 0; i < count; i++) {
      addLine(
          "at %.2f submit wk-b%d batch tasks=%d cpus=4 image=j%d run=%d"
              .formatted(
                  firstAt + i * interval,
                  i,
                  10 + random.nextInt(60),
                  random.nextInt(IMAGES),
                  8 + random.nextInt(12)));
      addExpectation("wk-b%d stage done".formatted(i));
    }
    return this;
  }

  /** Adds gangs of 2 to 8 tasks in one zone; each gang must be done at the end. */
  LargeFleetScenarioBuilder gangs(int count, double firstAt, double interval) {
    for (int i = 0; i < count; i++) {
      addLine(
          "at %.2f submit wk-g%d gang tasks=%d cpus=2 one-zone image=g%d run=%d checkpoint=5 save=1"
              .formatted(
                  firstAt + i * interval,
                  i,
                  2 + random.nextInt(7),
                  random.nextInt(IMAGES),
                  8 + random.nextInt(12)));
      addExpectation("wk-g%d stage done".formatted(i));
    }
    return this;
  }

  /** Adds batch jobs of long tasks that are cancelled 10 ms apart. */
  LargeFleetScenarioBuilder cancelledArrays(int count, double firstAt, double cancelledAt) {
    for (int i = 0; i < count; i++) {
      addLine(
          "at %.2f submit wk-c%d batch tasks=20 cpus=1 image=c%d run=600"
              .formatted(firstAt + i * 0.02, i, i % IMAGES));
      addLine("at %.2f cancel wk-c%d".formatted(cancelledAt + i * 0.01, i));
      addExpectation("wk-c%d present 0".formatted(i));
    }
    return this;
  }

  /** Partitions a range of machines, given by their numbers, from all other hosts. */
  LargeFleetScenarioBuilder partition(int first, int last, double startAt, double endAt) {
    for (int i = first; i <= last; i++) {
      addLine("at %.2f cut m-%06d all".formatted(startAt, i));
      addLine("at %.2f heal m-%06d all".formatted(endAt, i));
    }
    return this;
  }

  /** Adds a line of the scenario language. */
  LargeFleetScenarioBuilder addLine(String line) {
    text.append(line).append('\n');
    return this;
  }

  private void addExpectation(String expectation) {
    expectations.append("expect ").append(expectation).append('\n');
  }

  String buildUntil(int seconds) {
    return text + "until " + seconds + "\n" + expectations;
  }
}
