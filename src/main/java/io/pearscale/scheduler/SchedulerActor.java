package io.pearscale.scheduler;

import io.pearscale.protocol.Heartbeat;
import io.pearscale.protocol.HeartbeatResponse;
import io.pearscale.protocol.MachineType;
import io.pearscale.protocol.PeerMessage.JobTaskCount;
import io.pearscale.protocol.PeerMessage.LiveJobs;
import io.pearscale.protocol.Settings;
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
  private static final Duration TICK = Duration.ofMillis(250);
  private static final Duration COUNTS_SPACING = Duration.ofSeconds(1);

  /** A large fleet is looked after in slices of so many machines, in so many at most. */
  private static final int SLICE = 100;

  private static final int MOST_SLICES = 4;

  /** What the actor understands. */
  public sealed interface Message {}

  /** The replica was loaded. */
  public record Loaded(Map<String, Entry> all, long epoch) implements Message {}

  /** Keys changed. */
  public record Changed(List<KeyChange> changes, long epoch) implements Message {}

  /** All changes of the keys that were made by then are known. */
  public record Fresh(Instant asOf) implements Message {}

  /** This controller leads. */
  public record Won(long term, long termStamp, Instant evidence) implements Message {}

  /** It still led at that time. */
  public record Confirmed(Instant evidence) implements Message {}

  /** The peers have said so; they told these jobs as cancelled, and these are live. */
  public record Vouched(Instant evidence, Set<String> cancelled, List<LiveJobs> live)
      implements Message {}

  /** Some controller is about to tell users that the job is cancelled. */
  public record Cancelled(String job) implements Message {}

  /** It does not lead any more. */
  public record Lost(long term) implements Message {}

  /** All peers know of the election of that term, so none of them leads in an older one. */
  public record Acknowledged(long term) implements Message {}

  /** A worker's report, to be answered; {@code via} is the controller that it came to. */
  public record Reported(Heartbeat report, String via, Consumer<HeartbeatResponse> answer)
      implements Message {}

  /** The leader is to show that it lives, by a write if there is none to be made anyway. */
  public record Beat() implements Message {}

  /** What a part of the leader has put off, void when the term is over. */
  private record Continuation(long term, Runnable action) implements Message {}

  private record CloudSaid(CloudActor.Event event) implements Message {}

  /** What the scheduler tells its controller. */
  public interface Listener {
    /** Somebody leads in a higher term than ours. */
    void higherTerm(long term);

    /** This controller can't lead, because of a record that it can't read. */
    void unfit(String reason);

    /** Counts of tasks have changed. */
    void counts(List<JobTaskCount> counts);
  }

  /**
   * What the scheduler is given.
   *
   * @param timeOfDay on it, submissions carry their time
   * @param level says in the forms of which level records are written
   */
  public record Environment(
      EventLoop loop,
      KeyValueStoreClient state,
      HttpClient calls,
      Settings settings,
      Tuning tuning,
      Operations operations,
      RandomGenerator random,
      InstantSource timeOfDay,
      LevelGate level,
      Listener listener) {}

  private final LeaderComponents parts;
  private final Leadership leadership;
  private final JobTable jobs;
  private final MachineInventory inventory;
  private final LeaderRecords records;
  private long epoch;
  private boolean loaded;
  private Instant nextCounts = Instant.MIN;
  private int ticks;

  /** Makes a scheduler that does not lead. */
  public SchedulerActor(Environment environment) {
    super(environment.loop);
    parts =
        new LeaderComponents(environment, new Continuations(), event -> tell(new CloudSaid(event)));
    leadership = parts.leadership;
    jobs = parts.jobs;
    inventory = parts.inventory;
    records = parts.records;
  }

  @Override
  protected void receive(Message message) {
    if (message instanceof Reported m) {
      m.answer.accept(parts.reports.handle(m.report, m.via));
    } else if (message instanceof Continuation m) {
      if (leadership.leadsIn(m.term)) {
        m.action.run();
      }
    } else if (message instanceof Changed m) {
      changed(m);
    } else if (message instanceof Fresh m) {
      leadership.recordReplicaAsOf(m.asOf);
      jobs.replicaCaughtUpTo(m.asOf);
    } else if (message instanceof Loaded m) {
      loaded(m);
    } else if (message instanceof Won m) {
      won(m);
    } else if (message instanceof Confirmed m) {
      leadership.recordProof(m.evidence);
    } else if (message instanceof Cancelled m) {
      cancelled(m.job);
    } else if (message instanceof Vouched m) {
      vouched(m);
    } else if (message instanceof Acknowledged m && leadership.leadsIn(m.term)) {
      parts.recovery.notePreviousLeadersEnded();
    } else if (message instanceof Lost) {
      lost();
    } else if (message instanceof CloudSaid m && leadership.isLeading()) {
      parts.supply.handleCloudEvent(m.event);
    } else if (message instanceof Beat && leadership.isReady()) {
      parts.writer.writeKeepAlive();
    }
  }

  // ---- What the state service holds ----

  private void loaded(Loaded m) {
    jobs.absentFrom(m.all.keySet()).forEach(this::jobOver);
    jobs.forgetUnreadable();
    records.storedValues().clear();
    parts.raiser.forgetStored();
    parts.drains.ifPresent(DrainCoordinator::forgetStored);
    m.all.forEach((key, entry) -> changed(new KeyChange(key, Optional.of(entry))));
    epoch = m.epoch;
    loaded = true;
    takeOverWhenPossible();
  }

  private void changed(Changed m) {
    m.changes.forEach(this::changed);
    epoch = m.epoch;
    takeOverWhenPossible();
    if (leadership.isReady()) {
      parts.passes.request();
    }
  }

  private void changed(KeyChange change) {
    String key = change.key();
    if (Keys.isLiveJob(key)) {
      if (change.entry().isPresent()) {
        jobs.add(key, change.entry().get());
      } else {
        jobs.forgetUnreadable(key);
        jobOver(Keys.lastSegment(key));
      }
    } else if (Keys.isPlacementRecords(key) || Keys.isMachineRecords(key)) {
      records.storedValues().apply(change);
    } else if (Keys.isDrain(key) || Keys.isDrainMachines(key) || Keys.isDisruptions(key)) {
      parts.drains.ifPresent(drains -> drains.storedChanged(change));
    } else if (Keys.isMember(key)) {
      parts.raiser.storedChanged(change);
    } else if (key.equals(Keys.CATALOGUE) && change.entry().isPresent()) {
      List<MachineType> types = MachineType.parseAll(change.entry().get().value());
      records.storedValues().updateCatalogue(types);
      if (!leadership.isLeading() || inventory.catalogue().types().isEmpty()) {
        inventory.updateCatalogue(types);
      }
    }
  }

  private void vouched(Vouched m) {
    // First what was cancelled, then the proof.
    m.cancelled.forEach(this::cancelled);
    for (LiveJobs list : m.live) {
      Set<String> live = Set.copyOf(list.jobs());
      List.copyOf(jobs.all()).stream()
          .filter(job -> job.revision <= list.storeRevision() && !live.contains(job.spec.id()))
          .forEach(job -> cancelled(job.spec.id()));
    }
    leadership.recordPeerConfirmation(m.evidence);
  }

  /** A job is over although our copy may not show it yet. */
  private void cancelled(String id) {
    jobs.markCancelled(id);
    jobOver(id);
  }

  private void jobOver(String id) {
    Optional<Job> job = jobs.remove(id);
    if (job.isEmpty() || !leadership.isLeading()) {
      return;
    }
    records.closeJob(job.get());
    parts.gangs.forget(job.get());
    for (TaskAttempt attempt : List.copyOf(job.get().attempts.values())) {
      // What a cancelled task has done is of no use to anybody: it does not save, and one that
      // saves already, for whatever reason it was stopped, is told to end.
      attempt.stopsWithoutCheckpoint = true;
      attempt.stopsSent = 0;
      inventory.stop(attempt);
      inventory.markCommandDue(attempt.machine);
      parts.dispatcher.sendDueCommands(attempt.machine);
    }
  }

  // ---- Taking over and giving up ----

  private void won(Won m) {
    leadership.begin(m.term, m.termStamp, m.evidence);
    parts.passes.beginTerm();
    parts.writer.beginTerm();
    parts.dispatcher.begin();
    parts.recovery.beginTerm();
    parts.supply.begin();
    scheduleTick();
    takeOverWhenPossible();
  }

  private void lost() {
    leadership.end();
    inventory.clear();
    jobs.clearQueue();
    parts.dispatcher.end();
    records.clear();
    parts.counts.clear();
    parts.gangs.clear();
    parts.drains.ifPresent(DrainCoordinator::endTerm);
    parts.supply.end();
    jobs.forgetLeaderState();
  }

  /**
   * A new leader may not decide on a copy from before its term: the last writes of its predecessor
   * are older than the term, so a copy as new as the term has them all.
   */
  private void takeOverWhenPossible() {
    boolean possible = leadership.isLeading() && loaded && epoch >= leadership.termRevision();
    if (possible && !leadership.isReady() && parts.recovery.recover(epoch)) {
      parts.drains.ifPresent(DrainCoordinator::beginTerm);
      parts.passes.request();
    }
  }

  // ---- Time ----

  private void scheduleTick() {
    long term = leadership.term();
    loop.after(TICK, () -> tell(new Continuation(term, this::tick)));
  }

  private void tick() {
    scheduleTick();
    if (!leadership.isReady()) {
      return;
    }
    Instant now = loop.clock().instant();
    checkMachines(now);
    parts.stops.endBrokenGangs();
    parts.recovery.noteProgress();
    parts.drains.ifPresent(drains -> drains.roundIfDue(now));
    parts.passes.request();
    parts.dispatcher.sendAllDueCommands();
    parts.supply.scaleIfDue(now);
    if (now.isAfter(nextCounts)) {
      nextCounts = now.plus(COUNTS_SPACING);
      records.collectObsoleteValues();
      parts.counts.publishChanges();
    }
    parts.statistics.logIfDue(now, machine -> parts.health.isSchedulable(machine, now));
    parts.writer.scheduleCommitIfDue();
  }

  /** Looks after each machine once a second at the latest. */
  private void checkMachines(Instant now) {
    parts.health.beginRound();
    int slices = Math.min(MOST_SLICES, 1 + inventory.size() / SLICE);
    int i = ++ticks;
    for (Machine machine : List.copyOf(inventory.all())) {
      if (++i % slices == 0 || !machine.reconciled) {
        parts.health.check(machine, now);
      }
    }
  }

  private final class Continuations implements TermExecutor {
    @Override
    public void execute(Runnable action) {
      long term = leadership.term();
      loop.execute(() -> tell(new Continuation(term, action)));
    }

    @Override
    public void after(Duration delay, Runnable action) {
      long term = leadership.term();
      loop.after(delay, () -> tell(new Continuation(term, action)));
    }

    @Override
    public <T> Consumer<T> callback(Consumer<T> handler) {
      long term = leadership.term();
      return answer -> tell(new Continuation(term, () -> handler.accept(answer)));
    }
  }
}
