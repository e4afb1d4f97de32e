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
 * Receives all messages about jobs and machines, one at a time, and dispatches them to the
 * components of a leader, each of which owns its state ({@link LeaderComponents}). On a controller
 * that does not lead, it only maintains the jobs and the stored records.
 */
public final class SchedulerActor extends Actor<SchedulerActor.Message> {
  /** The messages that this actor accepts. */
  public sealed interface Message {}

  /** The replica of the stored keys was loaded at the given revision. */
  public record ReplicaLoaded(Map<String, Entry> entries, long storeRevision) implements Message {}

  /** Stored keys changed, and the replica is now at the given revision. */
  public record KeysChanged(List<KeyChange> changes, long storeRevision) implements Message {}

  /** The replica contains all changes that were made up to the given time. */
  public record ReplicaCaughtUp(Instant caughtUpTo) implements Message {}

  /**
   * This controller was elected leader in the given term.
   *
   * @param termRevision the revision of the term's key that the election wrote
   * @param provenAt a time at which no other controller led
   */
  public record Elected(long term, long termRevision, Instant provenAt) implements Message {}

  /** The key-value store confirmed that no other controller led at the given time. */
  public record LeadershipProven(Instant provenAt) implements Message {}

  /**
   * All controllers confirmed that no other controller led at the given time.
   *
   * @param cancelledJobs the jobs whose cancellation the controllers recently acknowledged to users
   * @param liveJobs the live jobs of each controller that loaded the stored keys later than this
   *     one
   */
  public record ConfirmedByPeers(
      Instant provenAt, Set<String> cancelledJobs, List<LiveJobs> liveJobs) implements Message {}

  /** A controller is about to acknowledge the cancellation of the job to a user. */
  public record JobCancelled(String job) implements Message {}

  /** This controller lost its leadership of the given term. */
  public record LeadershipLost(long term) implements Message {}

  /** All peers know of the election of the given term, so none of them leads in an earlier one. */
  public record ElectionAcknowledged(long term) implements Message {}

  /**
   * An agent's heartbeat, which requires a response.
   *
   * @param relay the controller to which the agent sent it
   */
  public record HeartbeatReceived(
      Heartbeat heartbeat, String relay, Consumer<HeartbeatResponse> respond) implements Message {}

  /** The leader should show that it is alive, with an extra write if no other write is due. */
  public record StoreHeartbeatDue() implements Message {}

  /** An action that a component deferred; it is dropped if the term has ended. */
  private record DeferredAction(long term, Runnable action) implements Message {}

  private record CloudEventReceived(CloudActor.Event event) implements Message {}

  /** Receives events of the scheduler. */
  public interface Listener {
    /**
     * A controller leads, or led, in the given term, which is higher than this controller's term.
     */
    void higherTermSeen(long term);

    /** This controller can't lead because it can't read a record. */
    void recordUnreadable(String reason);

    /** The given task counts changed. */
    void taskCountsChanged(List<JobTaskCount> counts);
  }

  /**
   * The dependencies and settings of the scheduler.
   *
   * @param store the key-value store
   * @param httpClient sends requests to machines and the cloud
   * @param random the source of all random choices
   * @param wallClock the wall clock that provides the stored submission times
   * @param levelGate determines the schema level in which records are written
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
  private final KeyChangeRouter keyChangeRouter;
  private final TermLifecycle lifecycle;
  private final PeriodicWork periodicWork;

  /** Creates a scheduler that does not lead. */
  public SchedulerActor(Environment environment) {
    super(environment.loop);
    components =
        new LeaderComponents(
            environment, new DeferredActions(), event -> tell(new CloudEventReceived(event)));
    leadership = components.leadership;
    jobTermination = new JobTermination(components);
    keyChangeRouter = new KeyChangeRouter(components, jobTermination);
    lifecycle = new TermLifecycle(components);
    periodicWork = new PeriodicWork(components, loop.clock());
  }

  /**
   * Enqueues a heartbeat, or refuses it immediately if the queue is full.
   *
   * @param relay the controller to which the agent sent the heartbeat
   * @param respond receives the response; called exactly once
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
    } else if (message instanceof ReplicaCaughtUp m) {
      leadership.recordReplicaCaughtUpTo(m.caughtUpTo);
      components.jobs.replicaCaughtUpTo(m.caughtUpTo);
    } else if (message instanceof ReplicaLoaded m) {
      keyChangeRouter.load(m.entries);
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
      components.recovery.onPreviousLeadersEnded();
    } else if (message instanceof LeadershipLost) {
      lifecycle.endTerm();
    } else if (message instanceof CloudEventReceived m && leadership.isLeading()) {
      components.machineProvisioner.handleCloudEvent(m.event);
    } else if (message instanceof StoreHeartbeatDue && leadership.isReady()) {
      components.recordWriter.writeKeepAlive();
    }
  }

  private void keysChanged(KeysChanged message) {
    message.changes.forEach(keyChangeRouter::apply);
    lifecycle.replicaAdvanced(message.storeRevision);
    if (leadership.isReady()) {
      components.schedulingPass.request();
    }
  }

  private void confirmedByPeers(ConfirmedByPeers message) {
    // Cancellations are applied before the proof, because the proof extends leases, including those
    // of cancelled tasks.
    message.cancelledJobs.forEach(jobTermination::jobCancelled);
    message.liveJobs.forEach(jobTermination::endJobsMissingFrom);
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
