package io.pearscale.sim;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.function.UnaryOperator;

/** Evaluates the expectations of a scenario: about the cluster as a whole, or about one job. */
final class ScenarioExpectation {
  private final SimulatedCluster cluster;
  private final UnaryOperator<String> resolveName;

  /**
   * Creates an evaluator.
   *
   * @param resolveName resolves the names of hosts in a script
   */
  ScenarioExpectation(SimulatedCluster cluster, UnaryOperator<String> resolveName) {
    this.cluster = cluster;
    this.resolveName = resolveName;
  }

  /**
   * Returns whether the expectation is met now.
   *
   * @param words the subject and the condition, such as {@code wk-1 present 4}
   */
  boolean isMet(List<String> words) {
    return switch (words.get(0)) {
      case "machines-provisioned" -> cluster.cloud.machinesProvisioned <= integer(words, 2);
      case "queries-answered" ->
          cluster.burstQueries > 0
              && cluster.answeredBurstQueries
                  >= cluster.burstQueries * Double.parseDouble(words.get(2));
      case "state-requests" -> cluster.store.requests <= integer(words, 2);
      case "commands" -> cluster.network.directCommands <= integer(words, 2);
      case "done-task-restarts" -> cluster.startsOfDoneTasks <= integer(words, 2);
      case "level" ->
          cluster.store.level().migrated() && cluster.store.level().level() == integer(words, 1);
      case "drain" ->
          cluster.store.valueContains(
              "c/drain-status/" + words.get(1), "\"state\":\"" + words.get(2) + "\"");
      case "voluntary-stops" -> cluster.disruptionChecker.voluntaryStops() >= integer(words, 2);
      case "gangs" -> isWithinBound(gangCount(words.get(1)), words);
      case "support-records" ->
          cluster.store.entriesWithPrefix("c/member/").size() == integer(words, 2);
      case "leader" -> cluster.store.leader().isPresent();
      case "leader-not" -> !cluster.store.leader().equals(Optional.of(words.get(1)));
      case "no-leader" -> cluster.store.leader().isEmpty();
      case "terms" ->
          cluster.store.entriesWithPrefix("c/term").get("c/term").path("term").asLong()
              <= integer(words, 2);
      case "machine-dead" -> cluster.agents.get(resolveName.apply(words.get(1))).isDead();
      case "starts" -> isWithinBound(cluster.starts.getOrDefault(words.get(1), 0), words);
      default ->
          Optional.ofNullable(cluster.users.get(words.get(0)))
              .filter(user -> isMetByJob(user, words))
              .isPresent();
    };
  }

  private boolean isMetByJob(SimUser user, List<String> words) {
    return switch (words.get(1)) {
      case "done" -> user.stage.equals("done") && isDoneInTime(user.doneAt, words);
      case "stage" -> user.stage.equals(words.get(2));
      case "present" ->
          cluster.runningTasks.stream()
                  .filter(running -> running.task().job().equals(user.spec.id()))
                  .count()
              == integer(words, 2);
      default -> throw new IllegalArgumentException("unknown expectation of a job: " + words);
    };
  }

  /** Returns whether the time is before that of {@code done by SECONDS}, if the words have one. */
  private static boolean isDoneInTime(Instant doneAt, List<String> words) {
    return words.size() < 4
        || Duration.between(SimulatedCluster.START, doneAt)
                .compareTo(Scenario.parseSeconds(words.get(3)))
            <= 0;
  }

  private int gangCount(String kind) {
    return switch (kind) {
      case "begun" -> cluster.gangs.attemptsStarted;
      case "broken" -> cluster.gangs.attemptsAborted;
      default -> cluster.gangs.formingTimeouts;
    };
  }

  /** Compares a count with the bound that follows the comparison operator in the words. */
  private static boolean isWithinBound(int count, List<String> words) {
    long bound = integer(words, 3);
    return words.get(2).equals("<=") ? count <= bound : count >= bound;
  }

  private static long integer(List<String> words, int index) {
    return Long.parseLong(words.get(index));
  }
}
