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

/**
 * Creates the components of a leader. The components know each other only from constructor
 * arguments and callbacks.
 */
final class LeaderComponents {
  final Leadership leadership;
  final JobTable jobs;
  final MachineInventory inventory;
  final LeaderRecords records;
  final LeaderStatistics statistics;
  final SchemaLevelUpgrader levelUpgrader;
  final GracefulTermination gracefulTermination;
  final GangTracker gangs;
  final CommandDispatcher dispatcher;
  final HeartbeatHandler heartbeatHandler;
  final FailureDetector failureDetector;
  final LeaderRecovery recovery;
  final SchedulingPass schedulingPass;
  final Optional<DrainCoordinator> drainCoordinator;
  final MachineProvisioner machineProvisioner;
  final RecordWriter recordWriter;
  final TaskCountPublisher taskCountPublisher;

  /**
   * Creates all components for a controller that does not lead.
   *
   * @param executor runs deferred actions of the components
   * @param cloudEvents receives events of the cloud
   */
  LeaderComponents(
      Environment environment, TermExecutor executor, Consumer<CloudActor.Event> cloudEvents) {
    Settings settings = environment.settings();
    Listener listener = environment.listener();
    AgentTimings timings = AgentTimings.of(settings.agents());
    MachineCatalogue catalogue = new MachineCatalogue();
    JobClasses jobClasses = new JobClasses(settings.serviceLevelObjectives(), catalogue.types());
    QueueOrder queueOrder = new QueueOrder(settings.serviceLevelObjectives(), jobClasses);
    records = createLeaderRecords(environment);
    LeaderState leaderState =
        createLeaderState(environment, teamsByName(settings), jobClasses, catalogue);
    leadership = leaderState.leadership();
    jobs = leaderState.jobs();
    gangs = leaderState.gangs();
    inventory = leaderState.inventory();
    statistics = new LeaderStatistics(leaderState);
    gracefulTermination = new GracefulTermination(leaderState, timings);
    HeartbeatProcessor processor =
        new HeartbeatProcessor(leaderState, gracefulTermination, statistics);
    dispatcher = createCommandDispatcher(environment, leaderState, timings, executor, processor);
    heartbeatHandler =
        new HeartbeatHandler(leaderState, processor, dispatcher, listener::higherTermSeen);
    CloudActor cloud =
        new CloudActor(environment.loop(), environment.httpClient(), settings, cloudEvents);
    MachineRetirement retirement = new MachineRetirement(leaderState, cloud::deleteMachines);
    failureDetector = new FailureDetector(leaderState, timings, dispatcher, retirement);
    recovery = createRecovery(leaderState, listener);
    schedulingPass =
        createSchedulingPass(environment, leaderState, timings, executor, jobClasses, queueOrder);
    drainCoordinator = createDrainCoordinator(environment, leaderState, timings, retirement);
    machineProvisioner =
        createMachineProvisioner(
            environment, leaderState, cloud, retirement, jobClasses, queueOrder);
    levelUpgrader =
        new SchemaLevelUpgrader(
            environment.levelGate(), settings.controllerNames(), leaderState.clock());
    recordWriter = createRecordWriter(environment, leaderState, executor, retirement);
    taskCountPublisher = new TaskCountPublisher(jobs, listener::taskCountsChanged);
  }

  private LeaderRecovery createRecovery(LeaderState leaderState, Listener listener) {
    return new LeaderRecovery(
        leaderState, records, dispatcher::probeRecordedMachines, listener::recordUnreadable);
  }

  private RecordWriter createRecordWriter(
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
        new LeaderCommitListener(gangs, dispatcher, retirement, environment.listener()));
  }

  private static CommandDispatcher createCommandDispatcher(
      Environment environment,
      LeaderState leaderState,
      AgentTimings timings,
      TermExecutor executor,
      HeartbeatProcessor processor) {
    return new CommandDispatcher(
        leaderState,
        environment.settings(),
        timings,
        environment.httpClient(),
        executor,
        environment.listener()::higherTermSeen,
        processor);
  }

  private SchedulingPass createSchedulingPass(
      Environment environment,
      LeaderState leaderState,
      AgentTimings timings,
      TermExecutor executor,
      JobClasses jobClasses,
      QueueOrder queueOrder) {
    var policy =
        new SchedulingPass.Policy(
            environment.tuning(), environment.random(), jobClasses, queueOrder);
    return new SchedulingPass(
        leaderState,
        timings,
        policy,
        executor,
        failureDetector,
        dispatcher,
        gracefulTermination,
        statistics);
  }

  private MachineProvisioner createMachineProvisioner(
      Environment environment,
      LeaderState leaderState,
      CloudActor cloud,
      MachineRetirement retirement,
      JobClasses jobClasses,
      QueueOrder queueOrder) {
    return new MachineProvisioner(
        leaderState,
        environment.settings(),
        cloud,
        new Autoscaler(environment.tuning(), jobClasses),
        queueOrder,
        failureDetector,
        retirement,
        dispatcher,
        recovery,
        drainCoordinator.map(RelocationGate.class::cast));
  }

  private static Map<String, Team> teamsByName(Settings settings) {
    Map<String, Team> teams = new HashMap<>();
    settings.teams().forEach(team -> teams.put(team.name(), team));
    return teams;
  }

  private LeaderRecords createLeaderRecords(Environment environment) {
    return new LeaderRecords(
        environment.settings().storeLimits(),
        environment.levelGate(),
        environment.loop().clock(),
        this::requestCommit);
  }

  /** Creates the state that all components share. */
  private LeaderState createLeaderState(
      Environment environment,
      Map<String, Team> teams,
      JobClasses jobClasses,
      MachineCatalogue catalogue) {
    Settings settings = environment.settings();
    InstantSource clock = environment.loop().clock();
    Runnable requestPass = this::requestPass;
    Leadership sharedLeadership = new Leadership(clock, settings.renewalAuthorityTimeout());
    JobTable jobTable =
        new JobTable(
            teams,
            sharedLeadership,
            clock,
            environment.wallClock(),
            environment.levelGate(),
            jobClasses::observe,
            requestPass);
    DecisionLog decisionLog = new DecisionLog(sharedLeadership, clock);
    Duration formationTimeout =
        settings.agents().gangs().map(GangTimeouts::formationTimeout).orElse(Duration.ZERO);
    MachineInventory machineInventory =
        new MachineInventory(
            catalogue, teams, sharedLeadership, jobTable, records, clock, requestPass, decisionLog);
    GangTracker gangTracker = new GangTracker(sharedLeadership, clock, formationTimeout);
    return new LeaderState(
        sharedLeadership,
        jobTable,
        machineInventory,
        records,
        clock,
        requestPass,
        decisionLog,
        gangTracker);
  }

  private Optional<DrainCoordinator> createDrainCoordinator(
      Environment environment,
      LeaderState leaderState,
      AgentTimings timings,
      MachineRetirement retirement) {
    return environment
        .operatorSettings()
        .drains()
        .map(
            drainSettings ->
                new DrainCoordinator(
                    leaderState,
                    drainSettings,
                    timings,
                    gracefulTermination,
                    environment.levelGate(),
                    environment.settings().storeLimits().maxValueBytes(),
                    environment.wallClock(),
                    dispatcher,
                    retirement));
  }

  /** Returns the components that write records other than those of jobs and machines. */
  private List<TransactionContributor> transactionContributors(Environment environment) {
    List<TransactionContributor> contributors = new ArrayList<>();
    if (environment.operatorSettings().automaticLevel()) {
      contributors.add(levelUpgrader);
    }
    drainCoordinator.ifPresent(coordinator -> contributors.addAll(coordinator.contributors()));
    return contributors;
  }

  private void requestPass() {
    schedulingPass.request();
  }

  private void requestCommit() {
    recordWriter.scheduleCommit();
  }
}
