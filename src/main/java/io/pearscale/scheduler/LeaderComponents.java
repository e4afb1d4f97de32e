package io.pearscale.scheduler;

import io.pearscale.protocol.Settings;
import io.pearscale.protocol.Settings.GangTimeouts;
import io.pearscale.protocol.Settings.Team;
import io.pearscale.scheduler.SchedulerActor.Environment;
import io.pearscale.scheduler.SchedulerActor.Listener;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** Makes the parts of a leader and joins them; they know each other by their constructors alone. */
final class LeaderComponents {
  final Leadership leadership;
  final JobTable jobs;
  final MachineInventory inventory;
  final LeaderRecords records;
  final LeaderStatistics statistics;
  final SchemaLevelUpgrader raiser;
  final GracefulTermination stops;
  final GangTracker gangs;
  final CommandDispatcher dispatcher;
  final HeartbeatHandler reports;
  final FailureDetector health;
  final LeaderRecovery recovery;
  final SchedulingPass passes;
  final Optional<DrainCoordinator> drains;
  final MachineProvisioner supply;
  final RecordWriter writer;
  final TaskCountPublisher counts;

  /**
   * Makes all parts.
   *
   * @param executor runs what they put off
   * @param cloudEvents is told what the cloud says
   */
  LeaderComponents(Environment env, TermExecutor executor, Consumer<CloudActor.Event> cloudEvents) {
    Settings settings = env.settings();
    Listener listener = env.listener();
    Map<String, Team> teams = teams(settings);
    AgentTimings times = AgentTimings.of(settings.agents());
    MachineCatalogue catalogue = new MachineCatalogue();
    JobClasses classes = new JobClasses(settings.serviceLevelObjectives(), catalogue.types());
    QueueOrder order = new QueueOrder(settings.serviceLevelObjectives(), classes);
    LeaderState shared = state(env, teams, classes, catalogue);
    leadership = shared.leadership();
    records = shared.records();
    jobs = shared.jobs();
    gangs = shared.gangs();
    inventory = shared.inventory();
    statistics = new LeaderStatistics(shared);
    stops = new GracefulTermination(shared, times);
    HeartbeatProcessor processor =
        new HeartbeatProcessor(shared, new FaultAttribution(shared), stops, statistics);
    dispatcher =
        new CommandDispatcher(
            shared, settings, times, env.calls(), executor, listener::higherTerm, processor);
    reports = new HeartbeatHandler(shared, processor, dispatcher, listener::higherTerm);
    CloudActor cloud = new CloudActor(env.loop(), env.calls(), settings, cloudEvents);
    MachineRetirement retirement = new MachineRetirement(shared, cloud);
    health = new FailureDetector(shared, times, dispatcher, retirement);
    recovery = new LeaderRecovery(shared, dispatcher, listener::unfit);
    var policy = new SchedulingPass.Policy(env.tuning(), env.random(), classes, order);
    passes =
        new SchedulingPass(shared, times, policy, executor, health, dispatcher, stops, statistics);
    drains = drains(env, shared, times, retirement);
    Autoscaler fleet = new Autoscaler(env.tuning(), classes);
    supply =
        new MachineProvisioner(
            shared,
            settings,
            cloud,
            fleet,
            order,
            health,
            retirement,
            dispatcher,
            recovery,
            drains);
    raiser = new SchemaLevelUpgrader(env.level(), settings.hosts(), shared.clock());
    writer = new RecordWriter(shared, env, sources(env), executor, dispatcher, retirement);
    counts = new TaskCountPublisher(jobs, listener::counts);
  }

  private static Map<String, Team> teams(Settings settings) {
    Map<String, Team> teams = new HashMap<>();
    settings.teams().forEach(team -> teams.put(team.name(), team));
    return teams;
  }

  /** What all parts share. */
  private LeaderState state(
      Environment env, Map<String, Team> teams, JobClasses classes, MachineCatalogue catalogue) {
    Settings settings = env.settings();
    InstantSource clock = env.loop().clock();
    Runnable requestPass = this::requestPass;
    Leadership term = new Leadership(clock, settings.renewalAuthorityTimeout());
    LeaderRecords stored =
        new LeaderRecords(settings.storeLimits(), env.level(), clock, this::requestCommit);
    JobTable table =
        new JobTable(
            teams, term, clock, env.timeOfDay(), env.level(), classes::observe, requestPass);
    DecisionLog decisions = new DecisionLog(term, clock);
    Duration forming =
        settings.agents().gangs().map(GangTimeouts::formationTimeout).orElse(Duration.ZERO);
    MachineInventory machines =
        new MachineInventory(catalogue, teams, term, table, stored, clock, requestPass, decisions);
    GangTracker attempts = new GangTracker(term, clock, forming);
    return new LeaderState(term, table, machines, stored, clock, requestPass, decisions, attempts);
  }

  private Optional<DrainCoordinator> drains(
      Environment env, LeaderState shared, AgentTimings times, MachineRetirement retirement) {
    return env.operations()
        .drains()
        .map(
            set ->
                new DrainCoordinator(
                    shared,
                    set,
                    times,
                    stops,
                    env.level(),
                    env.settings().storeLimits().maxValueBytes(),
                    env.timeOfDay(),
                    dispatcher,
                    retirement));
  }

  /** What has more to write than the records of jobs and machines. */
  private List<TransactionContributor> sources(Environment env) {
    List<TransactionContributor> sources = new ArrayList<>();
    if (env.operations().automaticLevel()) {
      sources.add(raiser);
    }
    drains.ifPresent(coordinator -> sources.addAll(coordinator.contributors()));
    return sources;
  }

  private void requestPass() {
    passes.request();
  }

  private void requestCommit() {
    writer.scheduleCommit();
  }
}
