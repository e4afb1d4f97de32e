package io.pearscale.scheduler;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.MachineType;
import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.protocol.PeerMessage.JobTaskCount;
import io.pearscale.protocol.Settings;
import io.pearscale.protocol.Settings.Team;
import io.pearscale.storage.KeyValueStoreClient;
import io.pearscale.storage.KeyValueStoreClient.Mutation;
import io.pearscale.storage.KeyValueStoreClient.Precondition;
import io.pearscale.storage.Keys;
import io.pearscale.storage.PlacementRecordCodec;
import io.pearscale.storage.RecordLayout;
import io.pearscale.storage.StoreReplicaActor;
import io.pearscale.storage.StoreReplicaActor.Entry;
import io.pearscale.storage.StoreReplicaActor.KeyChange;
import io.pearscale.transport.Actor;
import io.pearscale.transport.EventLoop;
import io.pearscale.transport.HttpClient.Reply;
import io.pearscale.transport.HttpServer.Response;
import io.pearscale.transport.MessagePack;
import io.pearscale.upgrade.Feature;
import io.pearscale.upgrade.LevelGate;
import java.time.Duration;
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
 * Answers users. Accepted, cancelled and done are told only once they are durable; anything that
 * could still change is told only as fresh as the question, by a read of the state service that
 * began after it. What can't be told so is answered 503 at once.
 */
public final class ApiActor extends Actor<ApiActor.Message> {
  private static final int REMEMBERED = 20_000;
  private static final int MOST_LIVE = 20_000;
  private static final Duration SOON = Duration.ofSeconds(1);

  /** The level rises within about a second of when the last controller says what it supports. */
  private static final Duration UPGRADED_LATER = Duration.ofSeconds(2);

  /** What the actor understands. */
  public sealed interface Message {}

  /** A user submits. */
  public record Submit(Optional<JsonNode> body, Consumer<Response> answer) implements Message {}

  /** A user asks for a job. */
  public record Query(String id, Consumer<Response> answer) implements Message {}

  /** A user cancels a job. */
  public record Cancel(String id, Consumer<Response> answer) implements Message {}

  /** The replica was loaded. */
  public record Loaded(Map<String, Entry> all) implements Message {}

  /** Keys changed. */
  public record Changed(List<KeyChange> changes) implements Message {}

  /** Asks which jobs this controller has told as cancelled lately, and which are live. */
  public record Recent(BiConsumer<List<String>, List<String>> answer) implements Message {}

  /** A peer says that it tells a job as cancelled: durable, so it may be told here as well. */
  public record Cancelled(String job) implements Message {}

  /** The leader's counts, for display. */
  public record Counts(List<JobTaskCount> jobs) implements Message {}

  private record Created(JobSpec spec, Consumer<Response> answer, Reply reply) implements Message {}

  private record Withdrawn(String id, int pieces, int tries, Consumer<Response> answer, Reply reply)
      implements Message {}

  private record Found(String id, Optional<Optional<Entry>> entry, Consumer<Lookup> then)
      implements Message {}

  private record PastRead(String id, Reply reply, Consumer<Lookup> then) implements Message {}

  /** What is known of a job, as fresh as the question. */
  private sealed interface Lookup {}

  private record Live(Entry entry) implements Lookup {}

  private record Over(Past past) implements Lookup {}

  private record Nothing() implements Lookup {}

  private record Unknown() implements Lookup {}

  /** How a job ended. */
  private record Past(String stage, int pieces) {}

  private final KeyValueStoreClient state;
  private final StoreReplicaActor replica;
  private final Settings settings;
  private final InstantSource timeOfDay;
  private final LevelGate level;
  private final Consumer<String> cancelled;
  private final Map<String, Team> teams = new HashMap<>();
  private final Map<String, JobTaskCount> counts = new HashMap<>();
  private final Set<String> live = new HashSet<>();
  private List<MachineType> types = List.of();
  private boolean loaded;
  private int open;
  private final Map<String, Instant> withdrawn = new LinkedHashMap<>();
  private final Map<String, Past> past =
      new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Past> eldest) {
          return size() > REMEMBERED;
        }
      };

  /**
   * Answers from the state service and its replica.
   *
   * @param level says whether gang jobs can be stored yet
   * @param cancelled is told of each job that users are about to be told as cancelled
   */
  public ApiActor(
      EventLoop loop,
      KeyValueStoreClient state,
      StoreReplicaActor replica,
      Settings settings,
      InstantSource timeOfDay,
      LevelGate level,
      Consumer<String> cancelled) {
    super(loop);
    this.state = state;
    this.replica = replica;
    this.settings = settings;
    this.timeOfDay = timeOfDay;
    this.level = level;
    this.cancelled = cancelled;
    settings.teams().forEach(t -> teams.put(t.name(), t));
  }

  @Override
  protected void receive(Message message) {
    if (message instanceof Submit m) {
      submit(m.body, limited(m.answer));
    } else if (message instanceof Query m) {
      Consumer<Response> answer = limited(m.answer);
      lookup(m.id, l -> answer.accept(show(m.id, l)));
    } else if (message instanceof Cancel m) {
      cancel(m.id, limited(m.answer), 0);
    } else if (message instanceof Loaded m) {
      loaded = true;
      live.clear();
      m.all.forEach((k, e) -> changed(new KeyChange(k, Optional.of(e))));
    } else if (message instanceof Changed m) {
      m.changes.forEach(this::changed);
    } else if (message instanceof Counts m) {
      m.jobs.forEach(c -> counts.put(c.job(), c));
      if (counts.size() > 2 * MOST_LIVE) {
        counts.keySet().retainAll(live);
      }
    } else if (message instanceof Recent m) {
      m.answer.accept(recent(), List.copyOf(live));
    } else if (message instanceof Cancelled m) {
      past.put(m.job, new Past("withdrawn", 0));
      live.remove(m.job);
      withdrawn.put(m.job, loop.clock().instant());
    } else if (message instanceof Created m) {
      created(m);
    } else if (message instanceof Withdrawn m) {
      withdrawn(m);
    } else if (message instanceof Found m) {
      found(m);
    } else if (message instanceof PastRead m) {
      pastRead(m);
    }
  }

  /** Counts open requests, so that a flood is refused while it can still be refused quickly. */
  private Consumer<Response> limited(Consumer<Response> answer) {
    open++;
    return r -> {
      open--;
      answer.accept(r);
    };
  }

  private void changed(KeyChange c) {
    if (Keys.isLiveJob(c.key())) {
      String id = Keys.lastSegment(c.key());
      if (c.entry().isPresent()) {
        live.add(id);
      } else {
        live.remove(id);
        counts.remove(id);
      }
    } else if (c.key().equals(Keys.CATALOGUE) && c.entry().isPresent()) {
      types = MachineType.parseAll(c.entry().get().value());
    }
  }

  // ---- Submitting ----

  private void submit(Optional<JsonNode> body, Consumer<Response> answer) {
    JobSpec spec;
    try {
      spec =
          JobSpec.parse(
              body.orElseThrow(() -> new MalformedMessageException("MessagePack expected")));
      if (spec.toNode().toString().length() + 100 > settings.storeLimits().maxValueBytes()) {
        throw new MalformedMessageException("too long");
      }
    } catch (MalformedMessageException e) {
      answer.accept(Response.of(400, MessagePack.map().put("error", e.getMessage())));
      return;
    }
    Past known = past.get(spec.id());
    if (known != null) {
      answer.accept(Response.of(200, stage(spec.id(), known.stage)));
      return;
    }
    if (!loaded || open > settings.connectionLimits().openUserRequests()) {
      answer.accept(Response.later(SOON, loaded ? "busy" : "starting"));
      return;
    }
    if (live.contains(spec.id())) {
      lookup(spec.id(), l -> answer.accept(known(spec.id(), l, Optional.empty())));
      return;
    }
    Optional<Response> refusal = judge(spec);
    if (refusal.isPresent()) {
      // An id that is known already is not judged again.
      lookup(spec.id(), l -> answer.accept(known(spec.id(), l, refusal)));
      return;
    }
    ObjectNode value = MessagePack.map().put("at", timeOfDay.instant().toEpochMilli());
    value.set("spec", spec.toNode());
    state.compareAndSwap(
        List.of(
            new Precondition(Keys.liveJob(spec.id()), 0),
            new Precondition(Keys.finishedJob(spec.id()), 0)),
        List.of(Mutation.put(Keys.liveJob(spec.id()), value)),
        reply -> tell(new Created(spec, answer, reply)));
  }

  /** What stands against a new job; empty when it can be accepted. */
  private Optional<Response> judge(JobSpec spec) {
    if (types.isEmpty()) {
      return Optional.of(Response.later(Duration.ofSeconds(2), "machine types unknown as yet"));
    }
    if (live.size() >= MOST_LIVE) {
      return Optional.of(Response.later(Duration.ofSeconds(30), "too many jobs"));
    }
    Team t = teams.get(spec.team());
    if (t == null) {
      return refuse("unknown team");
    }
    if (spec.isGang()) {
      Optional<Response> refusal = judgeGang();
      if (refusal.isPresent()) {
        return refusal;
      }
    }
    int n = spec.isService() || spec.isGang() ? spec.tasks() : 1;
    if ((t.cpuLimit() > 0 && n * spec.cpus() > t.cpuLimit() + 1e-6)
        || (t.gpuLimit() > 0 && n * spec.gpus() > t.gpuLimit() + 1e-6)) {
      return refuse("beyond the team's limit");
    }
    if (spec.spreadAcrossZones()
        && spec.tasks() > 1
        && (spec.singleZone() || spec.zone().isPresent())) {
      return refuse("tasks must spread over zones and stay in one");
    }
    Optional<Response> unrecordable = judgeSize(spec);
    if (unrecordable.isPresent()) {
      return unrecordable;
    }
    if (types.stream().anyMatch(spec::allowsInSomeZone)) {
      return Optional.empty();
    }
    return refuse("no allowed machine type is large enough");
  }

  /**
   * A job whose tasks can't be recorded could never start one of them. Where a later level takes
   * smaller parts of jobs, it is only a matter of time.
   */
  private Optional<Response> judgeSize(JobSpec spec) {
    int longest = settings.storeLimits().maxValueBytes();
    if (longestRecord(spec, RecordLayout.ofLevel(level.inForce().writtenLevel())) <= longest) {
      return Optional.empty();
    }
    return longestRecord(spec, RecordLayout.INDEXED) <= longest
            && level.supports(Feature.SMALL_VALUES)
        ? Optional.of(Response.later(UPGRADED_LATER, "not all controllers take so many tasks yet"))
        : refuse("its tasks can't be recorded in values of " + longest + " bytes");
  }

  private int longestRecord(JobSpec spec, RecordLayout layout) {
    Team team = teams.get(spec.team());
    int claim =
        team != null && team.hasQuotaLimit()
            ? new PlacementRecordCodec.QuotaClaim(
                    spec.team(), spec.cpus(), spec.gpus(), spec.memoryGb())
                .maximumSize()
            : 0;
    return PlacementRecordCodec.maximumSize(
            spec.id(), Math.min(spec.tasks(), layout.tasksPerPartition()), layout)
        + claim;
  }

  /** What stands against any gang job. */
  private Optional<Response> judgeGang() {
    if (settings.agents().gangs().isEmpty()) {
      return refuse("the settings name no gang_wait_s and gang_peer_s: gangs are not served");
    }
    return level.isEnabled(Feature.GANG_JOBS)
        ? Optional.empty()
        : Optional.of(Response.later(UPGRADED_LATER, "not all controllers serve gangs yet"));
  }

  private static Optional<Response> refuse(String why) {
    return Optional.of(Response.of(422, MessagePack.map().put("error", why)));
  }

  private void created(Created m) {
    String id = m.spec.id();
    if (m.reply.ok()) {
      live.add(id);
      log.info("event=accepted job={} class={} tasks={}", id, m.spec.jobClass(), m.spec.tasks());
      m.answer.accept(Response.of(201, stage(id, "pending")));
    } else if (m.reply.status() == 409) {
      lookup(id, l -> m.answer.accept(known(id, l, Optional.empty())));
    } else {
      // Whether it was applied is open. The user asks again with the same id, which settles it.
      log.info("event=refused job={} status={}", id, m.reply.status());
      m.answer.accept(Response.later(SOON, "state service"));
    }
  }

  private Response known(String id, Lookup l, Optional<Response> otherwise) {
    if (l instanceof Live) {
      return Response.of(200, stage(id, liveStage(id)));
    } else if (l instanceof Over o) {
      return Response.of(200, stage(id, o.past.stage));
    } else if (l instanceof Nothing && otherwise.isPresent()) {
      return otherwise.get();
    }
    return Response.later(SOON, "state service");
  }

  // ---- Asking ----

  private void lookup(String id, Consumer<Lookup> then) {
    Past known = past.get(id);
    if (known != null) {
      then.accept(new Over(known));
      return;
    }
    if (open > settings.connectionLimits().openUserRequests() || !JobSpec.isId(id)) {
      then.accept(JobSpec.isId(id) ? new Unknown() : new Nothing());
      return;
    }
    replica.tell(
        new StoreReplicaActor.LinearizableRead(
            Keys.liveJob(id), e -> tell(new Found(id, e, then))));
  }

  private void found(Found m) {
    Past told = past.get(m.id);
    if (told != null) {
      // It ended while the question was under way, and this controller has said so.
      m.then.accept(new Over(told));
    } else if (m.entry.isEmpty()) {
      m.then.accept(new Unknown());
    } else if (m.entry.get().isPresent()) {
      m.then.accept(new Live(m.entry.get().get()));
    } else {
      // Not live at a time after the question: over by then, or never accepted by then.
      state.get(Keys.finishedJob(m.id), r -> tell(new PastRead(m.id, r, m.then)));
    }
  }

  private void pastRead(PastRead m) {
    if (m.reply.ok()) {
      JsonNode v = m.reply.body().path("value");
      Past p = new Past(v.path("stage").asText(), v.path("pieces").asInt());
      past.put(m.id, p);
      noteWithdrawn(m.id, p);
      m.then.accept(new Over(p));
    } else if (m.reply.status() == 404) {
      m.then.accept(new Nothing());
    } else {
      m.then.accept(new Unknown());
    }
  }

  /**
   * Users are about to be told that the job is cancelled. The word goes to all controllers first:
   * the leader may not hear of it from the state service, and should this process end, another
   * still knows.
   */
  private void noteWithdrawn(String id, Past p) {
    if (p.stage.equals("withdrawn") && withdrawn.put(id, loop.clock().instant()) == null) {
      cancelled.accept(id);
    }
  }

  /** What a leader may not know although it has a proof: that is never older than hold. */
  private List<String> recent() {
    Instant limit =
        loop.clock().instant().minus(settings.renewalAuthorityTimeout().multipliedBy(2));
    withdrawn.values().removeIf(t -> t.isBefore(limit));
    return List.copyOf(withdrawn.keySet());
  }

  private String liveStage(String id) {
    JobTaskCount c = counts.get(id);
    return c != null && c.running() > 0 ? "running" : "pending";
  }

  private static ObjectNode stage(String id, String stage) {
    return MessagePack.map().put("uid", id).put("stage", stage);
  }

  private Response show(String id, Lookup l) {
    if (l instanceof Live) {
      JobTaskCount c = counts.getOrDefault(id, new JobTaskCount(id, 0, 0));
      return Response.of(
          200, stage(id, liveStage(id)).put("done", c.done()).put("running", c.running()));
    } else if (l instanceof Over o) {
      int done = o.past.stage.equals("done") ? o.past.pieces : 0;
      return Response.of(200, stage(id, o.past.stage).put("done", done).put("running", 0));
    } else if (l instanceof Nothing) {
      return Response.of(404, MessagePack.map().put("error", "no such job"));
    }
    return Response.later(SOON, "state service");
  }

  // ---- Cancelling ----

  private void cancel(String id, Consumer<Response> answer, int tries) {
    lookup(
        id,
        l -> {
          if (l instanceof Live x) {
            int pieces = x.entry.value().path("spec").path("pieces").asInt();
            state.compareAndSwap(
                List.of(
                    new Precondition(Keys.liveJob(id), x.entry.revision()),
                    new Precondition(Keys.finishedJob(id), 0)),
                List.of(
                    Mutation.delete(Keys.liveJob(id)),
                    Mutation.put(
                        Keys.finishedJob(id),
                        MessagePack.map().put("stage", "withdrawn").put("pieces", pieces))),
                reply -> tell(new Withdrawn(id, pieces, tries, answer, reply)));
          } else if (l instanceof Over o) {
            answer.accept(Response.of(200, stage(id, o.past.stage)));
          } else {
            answer.accept(show(id, l));
          }
        });
  }

  private void withdrawn(Withdrawn m) {
    if (m.reply.ok()) {
      Past p = new Past("withdrawn", m.pieces);
      past.put(m.id, p);
      noteWithdrawn(m.id, p);
      live.remove(m.id);
      log.info("event=withdrawn job={}", m.id);
      m.answer.accept(Response.of(200, stage(m.id, "withdrawn")));
    } else if (m.reply.status() == 409 && m.tries < 3) {
      // Done or cancelled meanwhile: look again.
      cancel(m.id, m.answer, m.tries + 1);
    } else {
      m.answer.accept(Response.later(SOON, "state service"));
    }
  }
}
