package io.pearscale.scheduler;

import io.pearscale.protocol.Heartbeat;
import io.pearscale.protocol.HeartbeatResponse;
import io.pearscale.protocol.PeerMessage.JobTaskCount;
import io.pearscale.protocol.PeerMessage.LiveJobs;
import io.pearscale.protocol.Settings;
import io.pearscale.scheduler.autoscaling.CloudActor;
import io.pearscale.scheduler.model.Leadership;
import io.pearscale.scheduler.model.TermExecutor;
import io.pearscale.scheduler.model.Tuning;
import io.pearscale.storage.KeyValueStoreClient;
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
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Receives what concerns jobs and machines, one message after the other, and hands it to the
 * components of a leader, each of which owns its own state ({@link LeaderComponents}). On a
 * controller that does not lead it only keeps the jobs and the stored records at hand.
 */
public final class SchedulerActor extends Actor<SchedulerActor.Message> {
  /** What the actor understands. */
  public sealed interface Message {}

  /** The copy of the keys was loaded, and has that revision. */
  public record Loaded(Map<String, Entry> entries, long storeRevision) implements Message {}

  /** Keys changed; the copy has that revision now. */
  public record KeysChanged(List<KeyChange> changes, long storeRevision) implements Message {}

  /** All changes of the keys that were made by that time are known. */
  public record ReplicaFresh(Instant asOf) implements Message {}

  /**
   * This controller leads in that term.
   *
   * @param termRevision the revision of the term's key that the election wrote
   * @param provenAt no other controller led at that time
   */
  public record Elected(long term, long termRevision, Instant provenAt) implements Message {}

  /** No other controller led at that time, as the key-value store has confirmed. */
  public record LeadershipProven(Instant provenAt) implements Message {}

  /**
   * No other controller led at that time, as all controllers have confirmed.
   *
   * @param cancelledJobs the jobs whose cancellation they acknowledged to users lately
   * @param liveJobs the jobs that were live, from those that loaded the keys later than this one
   */
  public record ConfirmedByPeers(
      Instant provenAt, Set<String> cancelledJobs, List<LiveJobs> liveJobs) implements Message {}

  /** Some controller is about to acknowledge to users that the job is cancelled. */
  public record JobCancelled(String job) implements Message {}

  /** This controller does not lead any more. */
  public record LeadershipLost(long term) implements Message {}

  /** All peers know of the election of that term, so none of them leads in an earlier one. */
  public record ElectionAcknowledged(long term) implements Message {}

  /**
   * An agent's heartbeat, to be responded to.
   *
   * @param relay the controller that the agent sent it to
   */
  public record HeartbeatReceived(
      Heartbeat heartbeat, String relay, Consumer<HeartbeatResponse> respond) implements Message {}

  /** A leader is to show that it lives, by a write if there is none to be made anyway. */
  public record StoreHeartbeatDue() implements Message {}

  /** What a component has put off, void when the term is over. */
  private record DeferredAction(long term, Runnable action) implements Message {}

  private record CloudEventReceived(CloudActor.Event event) implements Message {}

  /** Receives what the scheduler finds out. */
  public interface Listener {
    /** Somebody leads, or led, in that term, which is higher than ours. */
    void higherTermSeen(long term);

    /** This controller can't lead, because of a record that it can't read. */
    void recordUnreadable(String reason);

    /** These counts of tasks have changed. */
    void taskCountsChanged(List<JobTaskCount> counts);
  }

  /**
   * What the scheduler uses, and works by.
   *
   * @param store the key-value store
   * @param httpClient calls machines and the cloud
   * @param random all random choices are drawn from it
   * @param wallClock the time of day, with which submissions are stored
   * @param levelGate says in the forms of which schema level records are written
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
  private final JobTermination jobTermination;
  private final StoredKeyUpdates storedKeyUpdates;
  private final TermLifecycle lifecycle;
  private final PeriodicWork periodicWork;

  /** Makes a scheduler that does not lead. */
  public SchedulerActor(Environment environment) {
    super(environment.loop);
    components =
        new LeaderComponents(
            environment, new DeferredActions(), event -> tell(new CloudEventReceived(event)));
    leadership = components.leadership;
    jobTermination = new JobTermination(components);
    storedKeyUpdates = new StoredKeyUpdates(components, jobTermination);
    lifecycle = new TermLifecycle(components);
    periodicWork = new PeriodicWork(components, loop.clock());
  }

  /**
   * Leaves a heartbeat to be responded to; refuses it at once if too many messages wait.
   *
   * @param relay the controller that the agent sent it to
   * @param respond takes the response, exactly once
   */
  void offerHeartbeat(Heartbeat heartbeat, String relay, Consumer<HeartbeatResponse> respond) {
    if (!offer(new HeartbeatReceived(heartbeat, relay, respond))) {
      respond.accept(HeartbeatResponse.UNAVAILABLE);
    }
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
      keysChanged(m);
    } else if (message instanceof ReplicaFresh m) {
      leadership.recordReplicaUpToDate(m.asOf);
      components.jobs.replicaCaughtUpTo(m.asOf);
    } else if (message instanceof Loaded m) {
      storedKeyUpdates.load(m.entries);
      lifecycle.replicaLoaded(m.storeRevision);
    } else if (message instanceof Elected m) {
      elected(m);
    } else if (message instanceof LeadershipProven m) {
      leadership.recordProof(m.provenAt);
    } else if (message instanceof JobCancelled m) {
      jobTermination.jobCancelled(m.job);
    } else if (message instanceof ConfirmedByPeers m) {
      confirmedByPeers(m);
    } else if (message instanceof ElectionAcknowledged m && leadership.leadsIn(m.term)) {
      components.recovery.notePreviousLeadersEnded();
    } else if (message instanceof LeadershipLost) {
      lifecycle.endTerm();
    } else if (message instanceof CloudEventReceived m && leadership.isLeading()) {
      components.machineProvisioner.handleCloudEvent(m.event);
    } else if (message instanceof StoreHeartbeatDue && leadership.isReady()) {
      components.recordWriter.writeKeepAlive();
    }
  }

  private void keysChanged(KeysChanged message) {
    message.changes.forEach(storedKeyUpdates::apply);
    lifecycle.replicaAdvanced(message.storeRevision);
    if (leadership.isReady()) {
      components.placementPass.request();
    }
  }

  private void confirmedByPeers(ConfirmedByPeers message) {
    // First what was cancelled, then the proof: it extends leases, of cancelled tasks too.
    message.cancelledJobs.forEach(jobTermination::jobCancelled);
    message.liveJobs.forEach(jobTermination::endAllBut);
    leadership.recordPeerConfirmation(message.provenAt);
  }

  private void elected(Elected message) {
    lifecycle.beginTerm(message.term, message.termRevision, message.provenAt);
    scheduleTick();
    lifecycle.takeOverWhenPossible();
  }

  private void scheduleTick() {
    long term = leadership.term();
    loop.schedule(PeriodicWork.INTERVAL, () -> tell(new DeferredAction(term, this::tick)));
  }

  private void tick() {
    scheduleTick();
    if (leadership.isReady()) {
      periodicWork.run();
    }
  }

  private final class DeferredActions implements TermExecutor {
    @Override
    public void execute(Runnable action) {
      long term = leadership.term();
      loop.execute(() -> tell(new DeferredAction(term, action)));
    }

    @Override
    public void executeAfter(Duration delay, Runnable action) {
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
