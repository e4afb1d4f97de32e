package io.pearscale.scheduler;

import io.pearscale.api.TaskCountPublisher;
import io.pearscale.protocol.Settings;
import io.pearscale.protocol.Settings.GangTimeouts;
import io.pearscale.protocol.Settings.Team;
import io.pearscale.scheduler.SchedulerActor.Environment;
import io.pearscale.scheduler.SchedulerActor.Listener;
import io.pearscale.scheduler.agents.CommandDispatcher;
import io.pearscale.scheduler.agents.FailureDetector;
import io.pearscale.scheduler.agents.GracefulTermination;
import io.pearscale.scheduler.agents.HeartbeatHandler;
import io.pearscale.scheduler.agents.HeartbeatProcessor;
import io.pearscale.scheduler.agents.MachineRetirement;
import io.pearscale.scheduler.autoscaling.Autoscaler;
import io.pearscale.scheduler.autoscaling.CloudActor;
import io.pearscale.scheduler.autoscaling.MachineProvisioner;
import io.pearscale.scheduler.autoscaling.RelocationGate;
import io.pearscale.scheduler.maintenance.DrainCoordinator;
import io.pearscale.scheduler.model.AgentTimings;
import io.pearscale.scheduler.model.DecisionLog;
import io.pearscale.scheduler.model.GangTracker;
import io.pearscale.scheduler.model.JobClasses;
import io.pearscale.scheduler.model.JobTable;
import io.pearscale.scheduler.model.LeaderState;
import io.pearscale.scheduler.model.LeaderStatistics;
import io.pearscale.scheduler.model.Leadership;
import io.pearscale.scheduler.model.MachineCatalogue;
import io.pearscale.scheduler.model.MachineInventory;
import io.pearscale.scheduler.model.TermExecutor;
import io.pearscale.scheduler.placement.QueueOrder;
import io.pearscale.scheduler.placement.SchedulingPass;
import io.pearscale.scheduler.records.LeaderRecords;
import io.pearscale.scheduler.records.LeaderRecovery;
import io.pearscale.scheduler.records.RecordWriter;
import io.pearscale.scheduler.records.SchemaLevelUpgrader;
import io.pearscale.scheduler.records.TransactionContributor;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** Makes the components of a leader; they know each other by their constructors alone. */
final class LeaderComponents {
  final Leadership leadership;
  final JobTable jobs;
  final MachineInventory inventory;
  final LeaderRecords records;
  final LeaderStatistics statistics;
  final SchemaLevelUpgrader levelRaiser;
  final GracefulTermination gracefulTermination;
  final GangTracker gangs;
  final CommandDispatcher dispatcher;
  final HeartbeatHandler heartbeatHandler;
  final FailureDetector failureDetector;
  final LeaderRecovery recovery;
  final SchedulingPass placementPass;
  final Optional<DrainCoordinator> drainCoordinator;
  final MachineProvisioner machineProvisioner;
  final RecordWriter recordWriter;
  final TaskCountPublisher taskCountPublisher;

  /**
   * Makes all components, of a controller that does not lead.
   *
   * @param executor runs what they defer
   * @param cloudEvents takes what the cloud answers
   */
  LeaderComponents(
      Environment environment, TermExecutor executor, Consumer<CloudActor.Event> cloudEvents) {
    Settings settings = environment.settings();
    Listener listener = environment.listener();
    AgentTimings times = AgentTimings.of(settings.agents());
    MachineCatalogue catalogue = new MachineCatalogue();
    JobClasses classes = new JobClasses(settings.serviceLevelObjectives(), catalogue.types());
    QueueOrder order = new QueueOrder(settings.serviceLevelObjectives(), classes);
    records = leaderRecords(environment);
    LeaderState leaderState = leaderState(environment, teams(settings), classes, catalogue);
    leadership = leaderState.leadership();
    jobs = leaderState.jobs();
    gangs = leaderState.gangs();
    inventory = leaderState.inventory();
    statistics = new LeaderStatistics(leaderState);
    gracefulTermination = new GracefulTermination(leaderState, times);
    HeartbeatProcessor processor =
        new HeartbeatProcessor(leaderState, gracefulTermination, statistics);
    dispatcher = commandDispatcher(environment, leaderState, times, executor, processor);
    heartbeatHandler =
        new HeartbeatHandler(leaderState, processor, dispatcher, listener::higherTermSeen);
    CloudActor cloud =
        new CloudActor(environment.loop(), environment.httpClient(), settings, cloudEvents);
    MachineRetirement retirement = new MachineRetirement(leaderState, cloud::deleteMachines);
    failureDetector = new FailureDetector(leaderState, times, dispatcher, retirement);
    recovery = recovery(leaderState, listener);
    placementPass = schedulingPass(environment, leaderState, times, executor, classes, order);
    drainCoordinator = drainCoordinator(environment, leaderState, times, retirement);
    machineProvisioner =
        machineProvisioner(environment, leaderState, cloud, retirement, classes, order);
    levelRaiser =
        new SchemaLevelUpgrader(
            environment.levelGate(), settings.controllerNames(), leaderState.clock());
    recordWriter = recordWriter(environment, leaderState, executor, retirement);
    taskCountPublisher = new TaskCountPublisher(jobs, listener::taskCountsChanged);
  }

  private LeaderRecovery recovery(LeaderState leaderState, Listener listener) {
    return new LeaderRecovery(
        leaderState, records, dispatcher::probeRecordedMachines, listener::recordUnreadable);
  }

  private RecordWriter recordWriter(
      Environment environment,
      LeaderState leaderState,
      TermExecutor executor,
      MachineRetirement retirement) {
    var store =
        new RecordWriter.Store(
            environment.store(), environment.settings().storeLimits(), environment.levelGate());
    return new RecordWriter(
        leaderState,
        records,
        store,
        transactionContributors(environment),
        executor,
        environment.random(),
        new CommitEffects(gangs, dispatcher, retirement, environment.listener()));
  }

  private static CommandDispatcher commandDispatcher(
      Environment environment,
      LeaderState leaderState,
      AgentTimings times,
      TermExecutor executor,
      HeartbeatProcessor processor) {
    return new CommandDispatcher(
        leaderState,
        environment.settings(),
        times,
        environment.httpClient(),
        executor,
        environment.listener()::higherTermSeen,
        processor);
  }

  private SchedulingPass schedulingPass(
      Environment environment,
      LeaderState leaderState,
      AgentTimings times,
      TermExecutor executor,
      JobClasses classes,
      QueueOrder order) {
    var policy =
        new SchedulingPass.Policy(environment.tuning(), environment.random(), classes, order);
    return new SchedulingPass(
        leaderState,
        times,
        policy,
        executor,
        failureDetector,
        dispatcher,
        gracefulTermination,
        statistics);
  }

  private MachineProvisioner machineProvisioner(
      Environment environment,
      LeaderState leaderState,
      CloudActor cloud,
      MachineRetirement retirement,
      JobClasses classes,
      QueueOrder order) {
    return new MachineProvisioner(
        leaderState,
        environment.settings(),
        cloud,
        new Autoscaler(environment.tuning(), classes),
        order,
        failureDetector,
        retirement,
        dispatcher,
        recovery,
        drainCoordinator.map(RelocationGate.class::cast));
  }

  private static Map<String, Team> teams(Settings settings) {
    Map<String, Team> teams = new HashMap<>();
    settings.teams().forEach(team -> teams.put(team.name(), team));
    return teams;
  }

  private LeaderRecords leaderRecords(Environment environment) {
    return new LeaderRecords(
        environment.settings().storeLimits(),
        environment.levelGate(),
        environment.loop().clock(),
        this::requestCommit);
  }

  /** What all components share. */
  private LeaderState leaderState(
      Environment environment,
      Map<String, Team> teams,
      JobClasses classes,
      MachineCatalogue catalogue) {
    Settings settings = environment.settings();
    InstantSource clock = environment.loop().clock();
    Runnable requestPass = this::requestPass;
    Leadership term = new Leadership(clock, settings.renewalAuthorityTimeout());
    JobTable table =
        new JobTable(
            teams,
            term,
            clock,
            environment.wallClock(),
            environment.levelGate(),
            classes::observe,
            requestPass);
    DecisionLog decisions = new DecisionLog(term, clock);
    Duration forming =
        settings.agents().gangs().map(GangTimeouts::formationTimeout).orElse(Duration.ZERO);
    MachineInventory machines =
        new MachineInventory(catalogue, teams, term, table, records, clock, requestPass, decisions);
    GangTracker attempts = new GangTracker(term, clock, forming);
    return new LeaderState(term, table, machines, records, clock, requestPass, decisions, attempts);
  }

  private Optional<DrainCoordinator> drainCoordinator(
      Environment environment,
      LeaderState leaderState,
      AgentTimings times,
      MachineRetirement retirement) {
    return environment
        .operatorSettings()
        .drains()
        .map(
            set ->
                new DrainCoordinator(
                    leaderState,
                    set,
                    times,
                    gracefulTermination,
                    environment.levelGate(),
                    environment.settings().storeLimits().maxValueBytes(),
                    environment.wallClock(),
                    dispatcher,
                    retirement));
  }

  /** The components that have more to write than the records of jobs and machines. */
  private List<TransactionContributor> transactionContributors(Environment environment) {
    List<TransactionContributor> sources = new ArrayList<>();
    if (environment.operatorSettings().automaticLevel()) {
      sources.add(levelRaiser);
    }
    drainCoordinator.ifPresent(coordinator -> sources.addAll(coordinator.contributors()));
    return sources;
  }

  private void requestPass() {
    placementPass.request();
  }

  private void requestCommit() {
    recordWriter.scheduleCommit();
  }
}
