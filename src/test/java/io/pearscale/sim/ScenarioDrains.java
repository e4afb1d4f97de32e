package io.pearscale.sim;

import io.pearscale.drain.Disruption;
import io.pearscale.drain.DisruptionBudget;
import io.pearscale.drain.DrainRequest;
import io.pearscale.drain.DrainSettings;
import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.TaskId;
import io.pearscale.scheduler.OperatorSettings;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.UnaryOperator;

/** The actions of a scenario on drains and disruption budgets, as operators take them. */
final class ScenarioDrains {
  private final SimulatedCluster cluster;
  private final UnaryOperator<String> resolveName;

  ScenarioDrains(SimulatedCluster cluster, UnaryOperator<String> resolveName) {
    this.cluster = cluster;
    this.resolveName = resolveName;
  }

  /** Enables drains and adds a disruption budget to the operator settings. */
  DisruptionBudget addBudget(List<String> words) {
    DisruptionBudget budget =
        new DisruptionBudget(
            words.get(1),
            Optional.of(words.get(2)).filter(jobClass -> !jobClass.equals("*")),
            DisruptionBudget.Kind.parse(words.get(3)).orElseThrow(),
            Double.parseDouble(words.get(4)));
    List<DisruptionBudget> budgets = new ArrayList<>();
    cluster.operatorSettings.drains().ifPresent(set -> budgets.addAll(set.budgets()));
    budgets.add(budget);
    cluster.operatorSettings =
        new OperatorSettings(
            cluster.operatorSettings.supportRecordTtl(),
            cluster.operatorSettings.highestLevel(),
            cluster.operatorSettings.automaticLevel(),
            Optional.of(new DrainSettings(budgets, Map.of())));
    return budget;
  }

  /** Writes a drain request to the state service, as the operator command does. */
  void request(List<String> words, Map<String, String> options) {
    DrainRequest request =
        new DrainRequest(
            words.get(1),
            String.join(" ", words),
            Integer.parseInt(options.getOrDefault("at-once", "1")),
            options.containsKey("hold")
                ? DrainRequest.CompletionAction.HOLD
                : DrainRequest.CompletionAction.TERMINATE,
            DrainRequest.DesiredState.RUN,
            cluster.now,
            cluster.now.plus(Scenario.parseSeconds(options.getOrDefault("for", "3600"))),
            Optional.empty());
    request
        .toMutations(selectMachines(options), cluster.valueBytes)
        .forEach(change -> cluster.store.put(change.key(), change.value().orElseThrow()));
  }

  private List<String> selectMachines(Map<String, String> options) {
    List<String> named =
        Arrays.stream(options.getOrDefault("machines", "").split(",")).map(resolveName).toList();
    List<String> machines = new ArrayList<>();
    for (SimAgent agent : cluster.agents.values()) {
      boolean selected =
          options.containsKey("zone")
              ? agent.zone.equals(options.get("zone"))
              : options.containsKey("all") || named.contains(agent.name);
      if (selected && !agent.isDead()) {
        machines.add(agent.name);
      }
    }
    return machines;
  }

  /** Changes what the operator wants of a drain. */
  void changeDesiredState(String id, String state) {
    String key = "c/drain/" + id;
    cluster.store.put(
        key,
        DrainRequest.withDesiredState(
            cluster.store.entriesWithPrefix(key).get(key),
            DrainRequest.DesiredState.valueOf(state)));
  }

  /** Stores a voluntary disruption of a task, as a previous leader would have. */
  void recordDisruption(String taskName) {
    TaskId task = SimUser.parseTask(taskName);
    JobSpec spec = cluster.submitted.get(task.job());
    Disruption disruption = new Disruption(task, spec.team(), spec.jobClass(), true, Duration.ZERO);
    cluster.store.put("c/disrupted/0", Disruption.encode(List.of(disruption)));
  }
}
