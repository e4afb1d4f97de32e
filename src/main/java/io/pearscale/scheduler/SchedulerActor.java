package io.pearscale.scheduler;

import io.pearscale.protocol.Heartbeat;
import io.pearscale.protocol.HeartbeatResponse;
import io.pearscale.protocol.MachineType;
import io.pearscale.protocol.PeerMessage.JobTaskCount;
import io.pearscale.protocol.PeerMessage.LiveJobs;
import io.pearscale.protocol.Settings;
import io.pearscale.scheduler.agents.CommandDispatcher;
import io.pearscale.scheduler.agents.FailureDetector;
import io.pearscale.scheduler.agents.HeartbeatProcessor;
import io.pearscale.scheduler.autoscaling.CloudActor;
import io.pearscale.scheduler.autoscaling.MachineProvisioner;
import io.pearscale.scheduler.maintenance.DrainCoordinator;
import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.JobTable;
import io.pearscale.scheduler.model.Leadership;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.MachineInventory;
import io.pearscale.scheduler.model.TaskAttempt;
import io.pearscale.scheduler.model.TermExecutor;
import io.pearscale.scheduler.model.Tuning;
import io.pearscale.scheduler.placement.SchedulingPass;
import io.pearscale.scheduler.records.LeaderRecords;
import io.pearscale.scheduler.records.RecordWriter;
import io.pearscale.storage.KeyValueStoreClient;
import io.pearscale.storage.Keys;
import io.pearscale.storage.StoreReplicaActor.Entry;
import io.pearscale.storage.StoreReplicaActor.KeyChange;
import io.pearscale.transport.Actor;
import io.pearscale.transport.EventLoop;
import io.pearscale.transport.HttpClient;
import io.pearscale.upgrade.LevelGate;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Receives what concerns jobs and machines, and wires the parts of a leader, each of which owns its
 * own state: {@link JobTable}, {@link MachineInventory}, {@link LeaderRecords}, {@link
 * LeaderRecovery}, {@link HeartbeatProcessor}, {@link CommandDispatcher}, {@link FailureDetector},
 * {@link SchedulingPass}, {@link MachineProvisioner} and {@link RecordWriter}. On a controller that
 * does not lead it only keeps the jobs and the stored records at hand.
 */
public final class SchedulerActor extends Actor<SchedulerActor.Message> {
  private static final Duration TICK_INTERVAL = Duration.ofMillis(250);
  private static final Duration TASK_COUNTS_INTERVAL = Duration.ofSeconds(1);

  /** A large fleet is looked after in slices of so many machines, in so many at most. */
  private static final int MACHINES_PER_SLICE = 100;

  private static final int MAX_SLICES = 4;

  /** What the actor understands. */
  public sealed interface Message {}

  /** The replica was loaded. */
  public record Loaded(Map<String, Entry> entries, long storeRevision) implements Message {}

  /** Keys changed. */
  public record KeysChanged(List<KeyChange> changes, long storeRevision) implements Message {}

  /** All changes of the keys that were made by then are known. */
  public record ReplicaFresh(Instant asOf) implements Message {}

  /** This controller leads. */
  public record Elected(long term, long termRevision, Instant provenAt) implements Message {}

  /** It still led at that time. */
  public record LeadershipProven(Instant provenAt) implements Message {}

  /** The peers have said so; they told these jobs as cancelled, and these are live. */
  public record ConfirmedByPeers(
      Instant provenAt, Set<String> cancelledJobs, List<LiveJobs> liveJobs) implements Message {}

  /** Some controller is about to tell users that the job is cancelled. */
  public record JobCancelled(String job) implements Message {}

  /** It does not lead any more. */
  public record LeadershipLost(long term) implements Message {}

  /** All peers know of the election of that term, so none of them leads in an older one. */
  public record ElectionAcknowledged(long term) implements Message {}

  /** A worker's report, to be answered; {@code via} is the controller that it came to. */
  public record HeartbeatReceived(
      Heartbeat heartbeat, String relay, Consumer<HeartbeatResponse> respond) implements Message {}

  /** The leader is to show that it lives, by a write if there is none to be made anyway. */
  public record StoreHeartbeatDue() implements Message {}

  /** What a part of the leader has put off, void when the term is over. */
  private record DeferredAction(long term, Runnable action) implements Message {}

  private record CloudEventReceived(CloudActor.Event event) implements Message {}

  /** What the scheduler tells its controller. */
  public interface Listener {
    /** Somebody leads in a higher term than ours. */
    void higherTermSeen(long term);

    /** This controller can't lead, because of a record that it can't read. */
    void recordUnreadable(String reason);

    /** Counts of tasks have changed. */
    void taskCountsChanged(List<JobTaskCount> counts);
  }

  /**
   * What the scheduler is given.
   *
   * @param wallClock on it, submissions carry their time
   * @param levelGate says in the forms of which level records are written
   */
  public record Environment(
      EventLoop loop,
      KeyValueStoreClient store,
      HttpClient httpClient,
      Settings settings,
      Tuning tuning,
      OperatorSettings operatorSettings,
      RandomGenerator random,
      InstantSource wallClock,
      LevelGate levelGate,
      Listener listener) {}

  private final LeaderComponents components;
  private final Leadership leadership;
  private final JobTable jobs;
  private final MachineInventory inventory;
  private final LeaderRecords records;
  private long storeRevision;
  private boolean loaded;
  private Instant nextTaskCountsAt = Instant.MIN;
  private int ticks;

  /** Makes a scheduler that does not lead. */
  public SchedulerActor(Environment environment) {
    super(environment.loop);
    components =
        new LeaderComponents(
            environment, new DeferredActions(), event -> tell(new CloudEventReceived(event)));
    leadership = components.leadership;
    jobs = components.jobs;
    inventory = components.inventory;
    records = components.records;
  }

  @Override
  protected void receive(Message message) {
    if (message instanceof HeartbeatReceived m) {
      m.respond.accept(components.heartbeatHandler.handle(m.heartbeat, m.relay));
    } else if (message instanceof DeferredAction m) {
      if (leadership.leadsIn(m.term)) {
        m.action.run();
      }
    } else if (message instanceof KeysChanged m) {
      applyChanges(m);
    } else if (message instanceof ReplicaFresh m) {
      leadership.recordReplicaAsOf(m.asOf);
      jobs.replicaCaughtUpTo(m.asOf);
    } else if (message instanceof Loaded m) {
      loadEntries(m);
    } else if (message instanceof Elected m) {
      beginTerm(m);
    } else if (message instanceof LeadershipProven m) {
      leadership.recordProof(m.provenAt);
    } else if (message instanceof JobCancelled m) {
      jobCancelled(m.job);
    } else if (message instanceof ConfirmedByPeers m) {
      confirmedByPeers(m);
    } else if (message instanceof ElectionAcknowledged m && leadership.leadsIn(m.term)) {
      components.recovery.notePreviousLeadersEnded();
    } else if (message instanceof LeadershipLost) {
      endTerm();
    } else if (message instanceof CloudEventReceived m && leadership.isLeading()) {
      components.machineProvisioner.handleCloudEvent(m.event);
    } else if (message instanceof StoreHeartbeatDue && leadership.isReady()) {
      components.recordWriter.writeKeepAlive();
    }
  }

  // ---- What the state service holds ----

  private void loadEntries(Loaded m) {
    jobs.absentFrom(m.entries.keySet()).forEach(this::endJob);
    jobs.forgetUnreadable();
    records.storedValues().clear();
    components.levelRaiser.forgetStored();
    components.drainCoordinator.ifPresent(DrainCoordinator::forgetStored);
    m.entries.forEach((key, entry) -> applyChanges(new KeyChange(key, Optional.of(entry))));
    storeRevision = m.storeRevision;
    loaded = true;
    takeOverWhenPossible();
  }

  private void applyChanges(KeysChanged m) {
    m.changes.forEach(this::applyChanges);
    storeRevision = m.storeRevision;
    takeOverWhenPossible();
    if (leadership.isReady()) {
      components.placementPass.request();
    }
  }

  private void applyChanges(KeyChange change) {
    String key = change.key();
    if (Keys.isLiveJob(key)) {
      if (change.entry().isPresent()) {
        jobs.add(key, change.entry().get());
      } else {
        jobs.forgetUnreadable(key);
        endJob(Keys.lastSegment(key));
      }
    } else if (Keys.isPlacementRecords(key) || Keys.isMachineRecords(key)) {
      records.storedValues().apply(change);
    } else if (Keys.isDrain(key) || Keys.isDrainMachines(key) || Keys.isDisruptions(key)) {
      components.drainCoordinator.ifPresent(drains -> drains.storedChanged(change));
    } else if (Keys.isMember(key)) {
      components.levelRaiser.storedChanged(change);
    } else if (key.equals(Keys.CATALOGUE) && change.entry().isPresent()) {
      List<MachineType> types = MachineType.parseAll(change.entry().get().value());
      records.storedValues().updateCatalogue(types);
      if (!leadership.isLeading() || inventory.catalogue().types().isEmpty()) {
        inventory.updateCatalogue(types);
      }
    }
  }

  private void confirmedByPeers(ConfirmedByPeers m) {
    // First what was cancelled, then the proof.
    m.cancelledJobs.forEach(this::jobCancelled);
    for (LiveJobs list : m.liveJobs) {
      Set<String> live = Set.copyOf(list.jobs());
      List.copyOf(jobs.all()).stream()
          .filter(job -> job.revision() <= list.storeRevision() && !live.contains(job.spec().id()))
          .forEach(job -> jobCancelled(job.spec().id()));
    }
    leadership.recordPeerConfirmation(m.provenAt);
  }

  /** A job is over although our copy may not show it yet. */
  private void jobCancelled(String jobId) {
    jobs.markCancelled(jobId);
    endJob(jobId);
  }

  private void endJob(String jobId) {
    Optional<Job> job = jobs.remove(jobId);
    if (job.isEmpty() || !leadership.isLeading()) {
      return;
    }
    records.closeJob(job.get());
    components.gangs.forget(job.get());
    for (TaskAttempt attempt : List.copyOf(job.get().attempts().values())) {
      // What a cancelled task has done is of no use to anybody: it does not save, and one that
      // saves already, for whatever reason it was stopped, is told to end.
      attempt.forbidCheckpoint();
      attempt.forgetStopsSent();
      inventory.stop(attempt);
      inventory.markCommandDue(attempt.machine());
      components.dispatcher.sendDueCommands(attempt.machine());
    }
  }

  // ---- Taking over and giving up ----

  private void beginTerm(Elected m) {
    leadership.begin(m.term, m.termRevision, m.provenAt);
    components.placementPass.beginTerm();
    components.recordWriter.beginTerm();
    components.dispatcher.begin();
    components.recovery.beginTerm();
    components.machineProvisioner.begin();
    scheduleTick();
    takeOverWhenPossible();
  }

  private void endTerm() {
    leadership.end();
    inventory.clear();
    jobs.clearQueue();
    components.dispatcher.end();
    records.clear();
    components.taskCountPublisher.clear();
    components.gangs.clear();
    components.drainCoordinator.ifPresent(DrainCoordinator::endTerm);
    components.machineProvisioner.end();
    jobs.forgetLeaderState();
  }

  /**
   * A new leader may not decide on a copy from before its term: the last writes of its predecessor
   * are older than the term, so a copy as new as the term has them all.
   */
  private void takeOverWhenPossible() {
    boolean possible =
        leadership.isLeading() && loaded && storeRevision >= leadership.termRevision();
    if (possible && !leadership.isReady() && components.recovery.recover(storeRevision)) {
      components.drainCoordinator.ifPresent(DrainCoordinator::beginTerm);
      components.placementPass.request();
    }
  }

  // ---- Time ----

  private void scheduleTick() {
    long term = leadership.term();
    loop.schedule(TICK_INTERVAL, () -> tell(new DeferredAction(term, this::tick)));
  }

  private void tick() {
    scheduleTick();
    if (!leadership.isReady()) {
      return;
    }
    Instant now = loop.clock().instant();
    checkMachines(now);
    components.gracefulTermination.endBrokenGangs();
    components.recovery.noteProgress();
    components.drainCoordinator.ifPresent(drains -> drains.roundIfDue(now));
    components.placementPass.request();
    components.dispatcher.sendAllDueCommands();
    components.machineProvisioner.scaleIfDue(now);
    if (now.isAfter(nextTaskCountsAt)) {
      nextTaskCountsAt = now.plus(TASK_COUNTS_INTERVAL);
      records.collectObsoleteValues();
      components.taskCountPublisher.publishChanges();
    }
    components.statistics.logIfDue(
        now, machine -> components.failureDetector.isSchedulable(machine, now));
    components.recordWriter.scheduleCommitIfDue();
  }

  /** Looks after each machine once a second at the latest. */
  private void checkMachines(Instant now) {
    components.failureDetector.beginRound();
    int slices = Math.min(MAX_SLICES, 1 + inventory.size() / MACHINES_PER_SLICE);
    int i = ++ticks;
    for (Machine machine : List.copyOf(inventory.all())) {
      if (++i % slices == 0 || !machine.reconciled()) {
        components.failureDetector.check(machine, now);
      }
    }
  }

  private final class DeferredActions implements TermExecutor {
    @Override
    public void execute(Runnable action) {
      long term = leadership.term();
      loop.execute(() -> tell(new DeferredAction(term, action)));
    }

    @Override
    public void after(Duration delay, Runnable action) {
      long term = leadership.term();
      loop.schedule(delay, () -> tell(new DeferredAction(term, action)));
    }

    @Override
    public <T> Consumer<T> callback(Consumer<T> handler) {
      long term = leadership.term();
      return answer -> tell(new DeferredAction(term, () -> handler.accept(answer)));
    }
  }
}
