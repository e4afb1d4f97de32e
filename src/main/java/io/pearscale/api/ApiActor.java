package io.pearscale.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.MachineType;
import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.protocol.PeerMessage.JobTaskCount;
import io.pearscale.protocol.Settings;
import io.pearscale.storage.JobOutcome;
import io.pearscale.storage.KeyValueStoreClient;
import io.pearscale.storage.KeyValueStoreClient.Mutation;
import io.pearscale.storage.KeyValueStoreClient.Precondition;
import io.pearscale.storage.Keys;
import io.pearscale.storage.StoreReplicaActor;
import io.pearscale.storage.StoreReplicaActor.Entry;
import io.pearscale.storage.StoreReplicaActor.KeyChange;
import io.pearscale.storage.StoreReplies;
import io.pearscale.transport.Actor;
import io.pearscale.transport.EventLoop;
import io.pearscale.transport.HttpClient.Reply;
import io.pearscale.transport.HttpServer.Response;
import io.pearscale.transport.MessagePack;
import io.pearscale.upgrade.LevelGate;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Handles requests of users. The actor acknowledges that a job is accepted, cancelled or completed
 * only after that state is durable. Any state that may still change is answered from a linearizable
 * read of the key-value store that began after the request. A request that cannot be answered this
 * way is immediately refused with 503.
 */
public final class ApiActor extends Actor<ApiActor.Message> {
  /** The maximum number of cached outcomes; the least recently used ones are evicted. */
  private static final int MAX_CACHED_OUTCOMES = 20_000;

  /** Above this number, task counts of finished jobs are removed. */
  private static final int MAX_TASK_COUNTS = 2 * SubmissionValidator.MAX_LIVE_JOBS;

  /** An upper bound for the size of a stored job value without its specification. */
  private static final int VALUE_OVERHEAD_BYTES = 100;

  /** How often a cancellation is retried after a concurrent change of the job. */
  private static final int MAX_CANCELLATION_RETRIES = 3;

  /** The messages that the actor handles. */
  public sealed interface Message {}

  /** A submission of a job by a user; the body is empty if it is not valid MessagePack. */
  public record Submit(Optional<JsonNode> body, Consumer<Response> respond) implements Message {}

  /** A request of a user for the status of a job. */
  public record Query(String jobId, Consumer<Response> respond) implements Message {}

  /** A request of a user to cancel a job. */
  public record Cancel(String jobId, Consumer<Response> respond) implements Message {}

  /** The replica of the store has been loaded. */
  public record ReplicaLoaded(Map<String, Entry> entries) implements Message {}

  /** Keys of the replica have changed. */
  public record KeysChanged(List<KeyChange> changes) implements Message {}

  /**
   * A request for the cancellations that this controller has recently acknowledged.
   *
   * @param respond receives the ids of those jobs and the ids of all live jobs
   */
  public record RecentCancellations(BiConsumer<List<String>, List<String>> respond)
      implements Message {}

  /**
   * A peer acknowledges the cancellation of a job. The cancellation is durable, so this controller
   * may acknowledge it as well.
   */
  public record JobCancelled(String job) implements Message {}

  /** Task counts from the leader, for display. */
  public record TaskCountsChanged(List<JobTaskCount> jobs) implements Message {}

  private record SubmissionCommitted(JobSpec spec, Consumer<Response> respond, Reply reply)
      implements Message {}

  private record CancellationCommitted(
      String jobId, int tasks, int retries, Consumer<Response> respond, Reply reply)
      implements Message {}

  private record LiveRecordRead(
      String jobId, Optional<Optional<Entry>> entry, Consumer<Lookup> callback)
      implements Message {}

  private record FinishedRecordRead(String jobId, Reply reply, Consumer<Lookup> callback)
      implements Message {}

  /** The state of a job at a time after the request. */
  private sealed interface Lookup {}

  private record LiveJob(Entry entry) implements Lookup {}

  private record FinishedJob(JobOutcome outcome) implements Lookup {}

  private record NoSuchJob() implements Lookup {}

  private record UnknownStatus() implements Lookup {}

  private final KeyValueStoreClient store;
  private final StoreReplicaActor replica;
  private final Settings settings;
  private final InstantSource wallClock;
  private final SubmissionValidator validator;
  private final Consumer<String> cancellationListener;
  private final Map<String, JobTaskCount> taskCounts = new HashMap<>();

  /** The live jobs in the replica of the store. */
  private final Set<String> liveJobs = new HashSet<>();

  private List<MachineType> machineTypes = List.of();
  private boolean replicaLoaded;

  /** The number of user requests without a response. */
  private int openRequests;

  /**
   * The time at which this controller or a peer last acknowledged each cancellation, in insertion
   * order.
   */
  private final Map<String, Instant> acknowledgedCancellations = new LinkedHashMap<>();

  /** The outcomes of finished jobs by job id, least recently used first. */
  private final Map<String, JobOutcome> cachedOutcomes =
      new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, JobOutcome> eldest) {
          return size() > MAX_CACHED_OUTCOMES;
        }
      };

  /**
   * Creates an actor that answers from the key-value store and its replica.
   *
   * @param wallClock the clock for the stored submission times
   * @param levelGate determines whether gang jobs can be stored
   * @param cancellationListener receives each job before its cancellation is acknowledged to a user
   */
  public ApiActor(
      EventLoop loop,
      KeyValueStoreClient store,
      StoreReplicaActor replica,
      Settings settings,
      InstantSource wallClock,
      LevelGate levelGate,
      Consumer<String> cancellationListener) {
    super(loop);
    this.store = store;
    this.replica = replica;
    this.settings = settings;
    this.wallClock = wallClock;
    this.validator = new SubmissionValidator(settings, levelGate);
    this.cancellationListener = cancellationListener;
  }

  @Override
  protected void receive(Message message) {
    if (message instanceof Submit m) {
      submit(m.body, trackOpenRequest(m.respond));
    } else if (message instanceof Query m) {
      Consumer<Response> respond = trackOpenRequest(m.respond);
      lookup(m.jobId, lookup -> respond.accept(statusResponse(m.jobId, lookup)));
    } else if (message instanceof Cancel m) {
      cancel(m.jobId, trackOpenRequest(m.respond), 0);
    } else if (message instanceof ReplicaLoaded m) {
      replicaLoaded = true;
      liveJobs.clear();
      m.entries.forEach((k, e) -> applyChange(new KeyChange(k, Optional.of(e))));
    } else if (message instanceof KeysChanged m) {
      m.changes.forEach(this::applyChange);
    } else if (message instanceof TaskCountsChanged m) {
      m.jobs.forEach(c -> taskCounts.put(c.job(), c));
      if (taskCounts.size() > MAX_TASK_COUNTS) {
        taskCounts.keySet().retainAll(liveJobs);
      }
    } else if (message instanceof RecentCancellations m) {
      m.respond.accept(recentCancellations(), List.copyOf(liveJobs));
    } else if (message instanceof JobCancelled m) {
      cachedOutcomes.put(m.job, JobOutcome.cancelled(0));
      liveJobs.remove(m.job);
      acknowledgedCancellations.put(m.job, loop.clock().instant());
    } else if (message instanceof SubmissionCommitted m) {
      submissionCommitted(m);
    } else if (message instanceof CancellationCommitted m) {
      cancellationCommitted(m);
    } else if (message instanceof LiveRecordRead m) {
      liveRecordRead(m);
    } else if (message instanceof FinishedRecordRead m) {
      finishedRecordRead(m);
    }
  }

  /** Counts open requests, so that requests in excess of the limit can be refused quickly. */
  private Consumer<Response> trackOpenRequest(Consumer<Response> respond) {
    openRequests++;
    return r -> {
      openRequests--;
      respond.accept(r);
    };
  }

  private void applyChange(KeyChange change) {
    if (Keys.isLiveJob(change.key())) {
      String jobId = Keys.lastSegment(change.key());
      if (change.entry().isPresent()) {
        liveJobs.add(jobId);
      } else {
        liveJobs.remove(jobId);
        taskCounts.remove(jobId);
      }
    } else if (change.key().equals(Keys.CATALOGUE) && change.entry().isPresent()) {
      machineTypes = MachineType.parseAll(change.entry().get().value());
    }
  }

  // ---- Submission ----

  private void submit(Optional<JsonNode> body, Consumer<Response> respond) {
    JobSpec spec;
    try {
      spec = parse(body);
    } catch (MalformedMessageException e) {
      respond.accept(JobResponses.malformed(e.getMessage()));
      return;
    }
    JobOutcome outcome = cachedOutcomes.get(spec.id());
    if (outcome != null) {
      respond.accept(JobResponses.stage(spec.id(), outcome.stage()));
      return;
    }
    if (!replicaLoaded || openRequests > settings.connectionLimits().maxOpenUserRequests()) {
      respond.accept(JobResponses.unavailable(replicaLoaded ? "busy" : "starting"));
      return;
    }
    if (liveJobs.contains(spec.id())) {
      lookup(
          spec.id(),
          lookup -> respond.accept(knownJobResponse(spec.id(), lookup, Optional.empty())));
      return;
    }
    Optional<Response> refusal = validator.refusal(spec, machineTypes, liveJobs.size());
    if (refusal.isPresent()) {
      // A retry with the id of a known job is not validated again.
      lookup(spec.id(), lookup -> respond.accept(knownJobResponse(spec.id(), lookup, refusal)));
      return;
    }
    commitSubmission(spec, respond);
  }

  private JobSpec parse(Optional<JsonNode> body) throws MalformedMessageException {
    JobSpec spec =
        JobSpec.parse(
            body.orElseThrow(() -> new MalformedMessageException("MessagePack expected")));
    if (spec.toNode().toString().length() + VALUE_OVERHEAD_BYTES
        > settings.storeLimits().maxValueBytes()) {
      throw new MalformedMessageException("too long");
    }
    return spec;
  }

  private void commitSubmission(JobSpec spec, Consumer<Response> respond) {
    ObjectNode value = MessagePack.map().put("at", wallClock.instant().toEpochMilli());
    value.set("spec", spec.toNode());
    store.compareAndSwap(
        List.of(
            new Precondition(Keys.liveJob(spec.id()), 0),
            new Precondition(Keys.finishedJob(spec.id()), 0)),
        List.of(Mutation.put(Keys.liveJob(spec.id()), value)),
        reply -> tell(new SubmissionCommitted(spec, respond, reply)));
  }

  private void submissionCommitted(SubmissionCommitted message) {
    String jobId = message.spec.id();
    if (message.reply.ok()) {
      liveJobs.add(jobId);
      log.info(
          "event=job_accepted job={} class={} tasks={}",
          jobId,
          message.spec.jobClass(),
          message.spec.tasks());
      message.respond.accept(JobResponses.accepted(jobId));
    } else if (StoreReplies.isConflict(message.reply)) {
      lookup(
          jobId,
          lookup -> message.respond.accept(knownJobResponse(jobId, lookup, Optional.empty())));
    } else {
      // The transaction may have been applied. The user retries with the same id, which resolves
      // this.
      log.info("event=job_refused job={} status={}", jobId, message.reply.status());
      message.respond.accept(JobResponses.storeUnavailable());
    }
  }

  private Response knownJobResponse(
      String jobId, Lookup lookup, Optional<Response> responseIfNotFound) {
    if (lookup instanceof LiveJob) {
      return JobResponses.stage(jobId, liveStage(jobId));
    } else if (lookup instanceof FinishedJob finished) {
      return JobResponses.stage(jobId, finished.outcome.stage());
    } else if (lookup instanceof NoSuchJob && responseIfNotFound.isPresent()) {
      return responseIfNotFound.get();
    }
    return JobResponses.storeUnavailable();
  }

  // ---- Status lookup ----

  private void lookup(String jobId, Consumer<Lookup> callback) {
    JobOutcome outcome = cachedOutcomes.get(jobId);
    if (outcome != null) {
      callback.accept(new FinishedJob(outcome));
      return;
    }
    if (openRequests > settings.connectionLimits().maxOpenUserRequests()
        || !JobSpec.isValidId(jobId)) {
      callback.accept(JobSpec.isValidId(jobId) ? new UnknownStatus() : new NoSuchJob());
      return;
    }
    replica.tell(
        new StoreReplicaActor.LinearizableRead(
            Keys.liveJob(jobId), e -> tell(new LiveRecordRead(jobId, e, callback))));
  }

  private void liveRecordRead(LiveRecordRead message) {
    JobOutcome outcome = cachedOutcomes.get(message.jobId);
    if (outcome != null) {
      // The job finished during the read, and this controller has acknowledged that.
      message.callback.accept(new FinishedJob(outcome));
    } else if (message.entry.isEmpty()) {
      message.callback.accept(new UnknownStatus());
    } else if (message.entry.get().isPresent()) {
      message.callback.accept(new LiveJob(message.entry.get().get()));
    } else {
      // The job was not live at a time after the request, so it has either finished or was never
      // accepted.
      store.get(
          Keys.finishedJob(message.jobId),
          r -> tell(new FinishedRecordRead(message.jobId, r, message.callback)));
    }
  }

  private void finishedRecordRead(FinishedRecordRead message) {
    if (message.reply.ok()) {
      JobOutcome outcome = JobOutcome.decode(StoreReplies.valueOf(message.reply));
      cachedOutcomes.put(message.jobId, outcome);
      acknowledgeCancellation(message.jobId, outcome);
      message.callback.accept(new FinishedJob(outcome));
    } else if (StoreReplies.isNotFound(message.reply)) {
      message.callback.accept(new NoSuchJob());
    } else {
      message.callback.accept(new UnknownStatus());
    }
  }

  /**
   * Announces a cancellation to all controllers before it is acknowledged to users, because the
   * leader might not learn of it from the key-value store. Another controller still knows of it if
   * this process ends.
   */
  private void acknowledgeCancellation(String jobId, JobOutcome outcome) {
    if (outcome.isCancelled()
        && acknowledgedCancellations.put(jobId, loop.clock().instant()) == null) {
      cancellationListener.accept(jobId);
    }
  }

  /**
   * Returns the cancellations that a leader with a valid proof of leadership may not know. Such a
   * proof is never older than the renewal authority timeout; entries older than twice that timeout
   * are removed.
   */
  private List<String> recentCancellations() {
    Instant limit =
        loop.clock().instant().minus(settings.renewalAuthorityTimeout().multipliedBy(2));
    acknowledgedCancellations.values().removeIf(t -> t.isBefore(limit));
    return List.copyOf(acknowledgedCancellations.keySet());
  }

  private String liveStage(String jobId) {
    JobTaskCount count = taskCounts.get(jobId);
    return count != null && count.running() > 0 ? JobResponses.RUNNING : JobResponses.PENDING;
  }

  private Response statusResponse(String jobId, Lookup lookup) {
    if (lookup instanceof LiveJob) {
      JobTaskCount count = taskCounts.getOrDefault(jobId, new JobTaskCount(jobId, 0, 0));
      return JobResponses.status(jobId, liveStage(jobId), count.done(), count.running());
    } else if (lookup instanceof FinishedJob finished) {
      return JobResponses.status(jobId, finished.outcome);
    } else if (lookup instanceof NoSuchJob) {
      return JobResponses.notFound();
    }
    return JobResponses.storeUnavailable();
  }

  // ---- Cancellation ----

  private void cancel(String jobId, Consumer<Response> respond, int retries) {
    lookup(
        jobId,
        lookup -> {
          if (lookup instanceof LiveJob live) {
            commitCancellation(jobId, live.entry, respond, retries);
          } else if (lookup instanceof FinishedJob finished) {
            respond.accept(JobResponses.stage(jobId, finished.outcome.stage()));
          } else {
            respond.accept(statusResponse(jobId, lookup));
          }
        });
  }

  private void commitCancellation(
      String jobId, Entry live, Consumer<Response> respond, int retries) {
    int tasks = live.value().path("spec").path("pieces").asInt();
    store.compareAndSwap(
        List.of(
            new Precondition(Keys.liveJob(jobId), live.revision()),
            new Precondition(Keys.finishedJob(jobId), 0)),
        List.of(
            Mutation.delete(Keys.liveJob(jobId)),
            Mutation.put(Keys.finishedJob(jobId), JobOutcome.cancelled(tasks).encode())),
        reply -> tell(new CancellationCommitted(jobId, tasks, retries, respond, reply)));
  }

  private void cancellationCommitted(CancellationCommitted message) {
    if (message.reply.ok()) {
      JobOutcome outcome = JobOutcome.cancelled(message.tasks);
      cachedOutcomes.put(message.jobId, outcome);
      acknowledgeCancellation(message.jobId, outcome);
      liveJobs.remove(message.jobId);
      log.info("event=job_cancelled job={}", message.jobId);
      message.respond.accept(JobResponses.stage(message.jobId, JobOutcome.CANCELLED));
    } else if (StoreReplies.isConflict(message.reply)
        && message.retries < MAX_CANCELLATION_RETRIES) {
      // The job was completed or cancelled concurrently, so its state is read again.
      cancel(message.jobId, message.respond, message.retries + 1);
    } else {
      message.respond.accept(JobResponses.storeUnavailable());
    }
  }
}
