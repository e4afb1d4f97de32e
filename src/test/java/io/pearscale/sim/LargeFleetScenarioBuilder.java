package io.pearscale.sim;

import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/** The text of a day on a large fleet, always the same for the same figures. */
final class LargeFleetScenarioBuilder {
  private static final int IMAGES = 16;

  private final RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(7);
  private final StringBuilder text = new StringBuilder("nodes 3\nteam t\nclass web wait 2\n");
  private final StringBuilder expectations = new StringBuilder();

  /** Machines that are up at the start, evenly over the zones; they are named in that order. */
  LargeFleetScenarioBuilder(List<String> zones, int machinesPerZone) {
    text.append("zones " + String.join(" ", zones) + "\n");
    text.append("type big cpus=32 mem=256 boot=5\n");
    for (String zone : zones) {
      text.append("machines big %s ordinary %d\n".formatted(zone, machinesPerZone));
      text.append("capacity big %s ordinary %d\n".formatted(zone, machinesPerZone));
    }
  }

  /** Services of 4, 8 or 12 replicas, from a time on, each of which must be up at the end. */
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

  /** Arrays of 10 to 69 short tasks, from a time on, each of which must be done at the end. */
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

  /** Gangs of 2 to 8 tasks in one zone, from a time on, each of which must be done at the end. */
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

  /** Arrays with long to go that are all cancelled within a second. */
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

  /** Cuts a part of the machines, by their numbers, off from everything. */
  LargeFleetScenarioBuilder partition(int first, int last, double startAt, double endAt) {
    for (int i = first; i <= last; i++) {
      addLine("at %.2f cut m-%06d all".formatted(startAt, i));
      addLine("at %.2f heal m-%06d all".formatted(endAt, i));
    }
    return this;
  }

  /** Any other line. */
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
