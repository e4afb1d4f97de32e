package io.pearscale.scheduler;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.protocol.Fields;
import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.MachineType;
import io.pearscale.protocol.Malformed;
import io.pearscale.protocol.Order;
import io.pearscale.protocol.PeerMessage.JobCount;
import io.pearscale.protocol.PeerMessage.LiveJobs;
import io.pearscale.protocol.Report;
import io.pearscale.protocol.Report.TaskReport;
import io.pearscale.protocol.ReportAnswer;
import io.pearscale.protocol.Settings;
import io.pearscale.protocol.Settings.Team;
import io.pearscale.protocol.TaskId;
import io.pearscale.scheduler.CloudActor.Host;
import io.pearscale.scheduler.Machine.Ended;
import io.pearscale.scheduler.Machine.Life;
import io.pearscale.scheduler.Placement.Stage;
import io.pearscale.storage.Keys;
import io.pearscale.storage.Marks;
import io.pearscale.storage.ReplicaActor.Entry;
import io.pearscale.storage.ReplicaActor.KeyChange;
import io.pearscale.storage.Roster;
import io.pearscale.storage.StateClient;
import io.pearscale.transport.Actor;
import io.pearscale.transport.Calls;
import io.pearscale.transport.Calls.Reply;
import io.pearscale.transport.Loop;
import io.pearscale.transport.MessagePack;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongConsumer;
import java.util.random.RandomGenerator;
import org.HdrHistogram.Histogram;

/**
 * The leader's books and decisions: which job has which tasks where, what may be placed, evicted,
 * rented and given back. On a controller that does not lead it only keeps the jobs at hand.
 *
 * <p>The rule that everything here serves: a task is taken to be on a machine from before its start
 * command is sent until one of four proofs says that it is gone: a report that has seen a token
 * above the command's, a later session, the cloud's answer to a deletion, or silence that outlasts
 * any lease.
 */
public final class SchedulerActor extends Actor<SchedulerActor.Message> {
  private static final int TERM_SHIFT = 24;
  private static final Duration DO_TIMEOUT = Duration.ofMillis(1500);
  private static final Duration PROBE_TIMEOUT = Duration.ofMillis(1000);
  private static final Duration TICK = Duration.ofMillis(250);
  private static final Pacing PASSES = new Pacing(4, Duration.ofMillis(30), Duration.ofSeconds(2));
  private static final Pacing RENTING =
      new Pacing(20, Duration.ofSeconds(1), Duration.ofSeconds(10));

  private static final Duration COMMIT_SPACING = Duration.ofMillis(40);

  private static final int PROBES = 40;

  /** What a connection, a question and its answer take of a core, roughly. */
  private static final Duration PROBE_COST = Duration.ofNanos(800_000);

  private static final Duration FIRST_PAUSE = Duration.ofMillis(100);
  private static final Duration LEISURE = Duration.ofSeconds(4);
  private static final int SHARED_VALUE = 6000;

  private static final Duration DIRECT_PAUSE = Duration.ofSeconds(3);
  private static final int LEASES_OF_A_CUT = 10;

  /** A watch that comes back without news was sent 2 s before: a shorter hold asks for no less. */
  private static final Duration WATCH_AGE = Duration.ofSeconds(3);

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
  public record Reported(Report report, String via, Consumer<ReportAnswer> answer)
      implements Message {}

  /** The leader is to show that it lives, by a write if there is none to be made anyway. */
  public record Beat() implements Message {}

  private record Tick(long term) implements Message {}

  private record Pass(long term) implements Message {}

  private record Probes(long term) implements Message {}

  private record TryCommit(long term) implements Message {}

  private record Committed(long term, LeaderTransaction transaction, Reply reply)
      implements Message {}

  private record TermRead(long term, Reply reply) implements Message {}

  private record Done(long term, Machine machine, long token, List<Order> orders, Reply reply)
      implements Message {}

  private record CloudSaid(CloudActor.Event event) implements Message {}

  private final StateClient state;
  private final Calls calls;
  private final Settings settings;
  private final Tuning tuning;
  private final RandomGenerator random;
  private final InstantSource timeOfDay;
  private final LongConsumer higherTerm;
  private final Consumer<String> unfit;
  private final Consumer<List<JobCount>> counts;
  private final CloudActor cloud;
  private final Map<String, Team> teams = new HashMap<>();

  // Kept on every controller, fed by the replica.
  private final Map<String, Job> jobs = new LinkedHashMap<>();

  private final CancelledJobs cancelledJobs = new CancelledJobs();

  /** Keys of jobs that can't be read. */
  private final Set<String> unreadableJobs = new HashSet<>();

  private final Map<String, JsonNode> rawMarks = new TreeMap<>();
  private final Map<String, JsonNode> rawRoster = new TreeMap<>();
  private final Map<String, MachineType> types = new LinkedHashMap<>();
  private final Set<String> storedTypes = new HashSet<>();
  private long epoch;
  private boolean loaded;

  // Kept while leading.
  private boolean leading;
  private boolean ready;
  private long term;
  private long termStamp;
  private Instant wonAt = Instant.MIN;

  /** Until then a former leader may have renewed leases. */
  private Instant formerLeaders = Instant.MIN;

  private Instant evidence = Instant.MIN;
  private Instant fresh = Instant.MIN;
  private final AttemptNumbers attempts = new AttemptNumbers();
  private long commits;
  private final Map<String, Machine> machines = new LinkedHashMap<>();
  private final RemovedMachines removed = new RemovedMachines();

  /** Jobs with tasks that wait for a machine: a pass looks at these alone. */
  private final Set<Job> queue = new LinkedHashSet<>();

  /** Machines that something is to be told to. */
  private final Set<Machine> eager = new LinkedHashSet<>();

  private Shards<JobPart> marks;
  private Shards<Machine> roster;

  /** Machines of the roster that were not asked since the takeover. */
  private final ArrayDeque<Machine> unprobed = new ArrayDeque<>();

  private final Set<Job> finishing = new LinkedHashSet<>();
  private final Set<String> garbage = new LinkedHashSet<>();
  private final Map<String, Integer> knownCounts = new HashMap<>();

  private final WorkerTimes times;
  private final Duration hold;
  private final Duration startKnowledge;

  private final JobClasses classes;
  private final JobOrder order;
  private final Fleet fleet;
  private boolean catalogueDirty;
  private boolean committing;
  private boolean beat;
  private boolean commitPlanned;
  private boolean passPlanned;
  private Instant lastCommit = Instant.MIN;
  private int lastChanges;
  private Instant nextRent = Instant.MIN;
  private Instant nextCounts = Instant.MIN;
  private Instant nextFigures = Instant.MIN;
  private boolean settledLogged;
  private int ticks;

  /** Questions under way to machines that are to show themselves. */
  private int probing;

  /** Before that, machines are left to report by themselves. */
  private Instant probesFrom = Instant.MIN;

  private Optional<Silence> silence = Optional.empty();
  private Duration lastPass = Duration.ZERO;
  private final Histogram startMillis = new Histogram(3);
  private final Histogram passMicros = new Histogram(3);

  /**
   * Makes the books.
   *
   * @param higherTerm is told of a higher term than ours
   * @param unfit is told why this controller can't lead, of a record that it can't read
   * @param counts is told of task counts that changed
   */
  public SchedulerActor(
      Loop loop,
      StateClient state,
      Calls calls,
      Settings settings,
      Tuning tuning,
      RandomGenerator random,
      InstantSource timeOfDay,
      LongConsumer higherTerm,
      Consumer<String> unfit,
      Consumer<List<JobCount>> counts) {
    super(loop);
    this.state = state;
    this.calls = calls;
    this.settings = settings;
    this.tuning = tuning;
    this.random = random;
    this.timeOfDay = timeOfDay;
    this.higherTerm = higherTerm;
    this.unfit = unfit;
    this.counts = counts;
    this.cloud = new CloudActor(loop, calls, settings, e -> tell(new CloudSaid(e)));
    this.times = WorkerTimes.of(settings.workers());
    this.hold = settings.hold();
    this.startKnowledge = startKnowledge(hold);
    this.classes = new JobClasses(settings.objectives(), types.values());
    this.order = new JobOrder(settings.objectives(), classes);
    this.fleet = new Fleet(tuning, teams, classes);
    newBooks();
    settings.teams().forEach(t -> teams.put(t.name(), t));
  }

  @Override
  protected void receive(Message message) {
    if (message instanceof Reported m) {
      m.answer.accept(reported(m.report, m.via));
    } else if (message instanceof Changed m) {
      m.changes.forEach(this::changed);
      epoch = m.epoch;
      becomeReady();
      if (ready) {
        schedule();
      }
    } else if (message instanceof Fresh m) {
      fresh = m.asOf.isAfter(fresh) ? m.asOf : fresh;
      cancelledJobs.copyIsAsNewAs(m.asOf);
    } else if (message instanceof Loaded m) {
      loaded(m);
    } else if (message instanceof Won m) {
      won(m);
    } else if (message instanceof Confirmed m) {
      evidence = m.evidence.isAfter(evidence) ? m.evidence : evidence;
    } else if (message instanceof Cancelled m) {
      cancelled(m.job);
    } else if (message instanceof Vouched m) {
      vouched(m);
    } else if (message instanceof Acknowledged m && leading && m.term == term) {
      acknowledged();
    } else if (message instanceof Lost) {
      lost();
    } else if (message instanceof CloudSaid m && leading) {
      cloudSaid(m.event);
    } else if (message instanceof Beat && ready) {
      beat = true;
      planCommit();
    } else if (message instanceof Tick m && leading && m.term == term) {
      tick();
    } else if (message instanceof Pass m && leading && m.term == term) {
      passPlanned = false;
      if (ready) {
        pass();
      }
    } else if (message instanceof Probes m && leading && m.term == term) {
      probeMore();
    } else if (message instanceof TryCommit m && leading && m.term == term) {
      commitPlanned = false;
      commit();
    } else if (message instanceof Committed m && leading && m.term == term) {
      committed(m.transaction, m.reply);
    } else if (message instanceof TermRead m && leading && m.term == term) {
      termRead(m.reply);
    } else if (message instanceof Done m && leading && m.term == term) {
      done(m);
    }
  }

  private Instant now() {
    return loop.clock().instant();
  }

  // ---- What the state service holds ----

  private void loaded(Loaded m) {
    for (String id : List.copyOf(jobs.keySet())) {
      if (!m.all.containsKey(Keys.live(id))) {
        removeJob(id);
      }
    }
    unreadableJobs.clear();
    rawMarks.clear();
    rawRoster.clear();
    m.all.forEach((key, entry) -> changed(new KeyChange(key, Optional.of(entry))));
    epoch = m.epoch;
    loaded = true;
    becomeReady();
  }

  private void changed(KeyChange c) {
    String key = c.key();
    if (Keys.isLive(key)) {
      if (c.entry().isPresent()) {
        addJob(key, c.entry().get());
      } else {
        unreadableJobs.remove(key);
        removeJob(Keys.name(key));
      }
    } else if (Keys.isMarks(key)) {
      c.entry().ifPresentOrElse(e -> rawMarks.put(key, e.value()), () -> rawMarks.remove(key));
    } else if (Keys.isRoster(key)) {
      c.entry().ifPresentOrElse(e -> rawRoster.put(key, e.value()), () -> rawRoster.remove(key));
    } else if (key.equals(Keys.CATALOGUE) && c.entry().isPresent()) {
      List<MachineType> list = MachineType.parseAll(c.entry().get().value());
      storedTypes.clear();
      list.forEach(t -> storedTypes.add(t.name()));
      if (!leading || types.isEmpty()) {
        setTypes(list);
      }
    }
  }

  private void setTypes(List<MachineType> list) {
    if (!list.isEmpty()) {
      types.clear();
      list.forEach(t -> types.put(t.name(), t));
      // A worker may have reported before the catalogue was known.
      for (Machine m : machines.values()) {
        m.type = types.getOrDefault(m.type.name(), m.type);
        m.touch();
      }
    }
  }

  private void addJob(String key, Entry e) {
    try {
      JobSpec spec = JobSpec.parse(e.value().path("spec"));
      if (jobs.containsKey(spec.id()) || cancelledJobs.contains(spec.id())) {
        return;
      }
      Duration age =
          Duration.between(
              Instant.ofEpochMilli(e.value().path("at").asLong()), timeOfDay.instant());
      if (age.isNegative()) {
        age = Duration.ZERO;
      }
      Team team = teams.get(spec.team());
      Job job = new Job(spec, e.stamp(), now().minus(age), team != null && team.limited());
      jobs.put(spec.id(), job);
      classes.note(job);
      requeue(job);
    } catch (Malformed x) {
      log.error("event=stored_job_unreadable key={} reason={}", key, x.getMessage());
      unreadableJobs.add(key);
    }
  }

  /**
   * The peers' word extends proofs that still hold: it names what was cancelled in the last two
   * holds, and older cancels the copy must have shown. So a copy that has not been fresh for a hold
   * is made good by the state service alone.
   */
  private void vouched(Vouched m) {
    // First what was cancelled, then the proof.
    m.cancelled.forEach(this::cancelled);
    for (LiveJobs list : m.live) {
      Set<String> live = Set.copyOf(list.jobs());
      List.copyOf(jobs.values()).stream()
          .filter(j -> j.stamp <= list.epoch() && !live.contains(j.spec.id()))
          .forEach(j -> cancelled(j.spec.id()));
    }
    if (m.evidence.isBefore(fresh.plus(hold))) {
      evidence = m.evidence.isAfter(evidence) ? m.evidence : evidence;
      fresh = m.evidence.isAfter(fresh) ? m.evidence : fresh;
    }
  }

  /** A job is over although our copy may not show it yet. */
  private void cancelled(String id) {
    cancelledJobs.note(id, now());
    removeJob(id);
  }

  private void removeJob(String id) {
    Job job = jobs.remove(id);
    if (job == null || !leading) {
      return;
    }
    over(job);
    for (Placement p : List.copyOf(job.placed.values())) {
      // What a cancelled task has done is of no use to anybody: it does not save, and one that
      // saves already, for whatever reason it was stopped, is told to end.
      p.hurried = true;
      p.kills = 0;
      doom(p);
      eager.add(p.machine);
      kick(p.machine);
    }
  }

  /**
   * A job is over. Tasks of it that may still be somewhere count for their team's limit: until the
   * last is gone the marks go on to name them, as a successor finds them nowhere else.
   */
  private void over(Job job) {
    queue.remove(job);
    finishing.remove(job);
    if (job.claim().isEmpty() || job.placed.isEmpty()) {
      letGo(job);
    }
  }

  /** The marks of a job need no room any more. */
  private void letGo(Job job) {
    for (int p = 0; p < job.parts(); p++) {
      marks.remove(new JobPart(job, p));
    }
  }

  /** Values in which nothing lives any more. */
  private void collectGarbage() {
    for (String key : rawMarks.keySet()) {
      if (marks.isEmpty(Keys.number(key))) {
        garbage.add(key);
      }
    }
    for (String key : rawRoster.keySet()) {
      if (roster.isEmpty(Keys.number(key))) {
        garbage.add(key);
      }
    }
  }

  private void newBooks() {
    int room = Math.min(SHARED_VALUE, settings.stateLimits().valueBytes() * 3 / 4);
    marks = new Shards<>(room);
    roster = new Shards<>(room);
  }

  // ---- Taking over and giving up ----

  private void won(Won m) {
    leading = true;
    ready = false;
    term = m.term;
    termStamp = m.termStamp;
    evidence = m.evidence;
    wonAt = now();
    formerLeaders = wonAt.plus(hold);
    attempts.begin(term);
    commits = 0;
    committing = false;
    commitPlanned = false;
    passPlanned = false;
    settledLogged = false;
    probing = 0;
    fleet.begin();
    cloud.tell(new CloudActor.Lead(term));
    long t = term;
    loop.after(TICK, () -> tell(new Tick(t)));
    becomeReady();
  }

  private void lost() {
    leading = false;
    ready = false;
    machines.clear();
    queue.clear();
    eager.clear();
    unprobed.clear();
    newBooks();
    finishing.clear();
    garbage.clear();
    knownCounts.clear();
    cloud.tell(new CloudActor.Rest());
    jobs.values().forEach(Job::forget);
  }

  /**
   * A new leader may not decide on a copy from before its term: the last writes of its predecessor
   * are older than the term, so a copy as new as the term has them all.
   */
  private void becomeReady() {
    if (!leading || ready || !loaded || epoch < termStamp) {
      return;
    }
    Optional<StoredRecords> records = storedRecords();
    if (records.isEmpty()) {
      return;
    }
    ready = true;
    jobs.values().forEach(Job::forget);
    newBooks();
    finishing.clear();
    takeOver(records.get());
    jobs.values().forEach(this::requeue);
    unprobed.clear();
    unprobed.addAll(machines.values());
    planProbes();
    log.info(
        "event=takeover term={} jobs={} roster={} unseen_tasks={}",
        term,
        jobs.size(),
        machines.size(),
        jobs.values().stream().mapToInt(j -> j.placed.size()).sum());
    schedule();
  }

  /**
   * All that a predecessor recorded; empty, and this controller unfit to lead, if it can't be read.
   */
  private Optional<StoredRecords> storedRecords() {
    try {
      if (!unreadableJobs.isEmpty()) {
        throw new Malformed(unreadableJobs.iterator().next() + ": job can't be read");
      }
      return Optional.of(StoredRecords.decode(rawRoster, rawMarks));
    } catch (Malformed e) {
      log.error("event=stored_record_unreadable term={} reason={}", term, e.getMessage());
      unfit.accept(e.getMessage());
      return Optional.empty();
    }
  }

  private void takeOver(StoredRecords records) {
    Map<Integer, Machine> numbered = new HashMap<>();
    records
        .machines()
        .forEach(
            (number, entries) -> {
              for (Roster.Entry e : entries) {
                numbered.put(Marks.host(number, e.place(), Shards.PLACES), fromRoster(e, number));
              }
            });
    records.tasks().forEach((number, parts) -> parts.forEach(p -> takeOver(p, numbered, number)));
  }

  private void takeOver(Marks.Part p, Map<Integer, Machine> numbered, int value) {
    Job j = jobs.get(p.job());
    if (j != null && p.part() >= 0 && p.part() < j.parts()) {
      fromMarks(j, p, numbered, value);
    } else if (j == null && p.part() >= 0 && p.claim().isPresent()) {
      remainsFromMarks(p, numbered, value);
    }
  }

  private Machine fromRoster(Roster.Entry e, int value) {
    MachineType type = types.getOrDefault(e.type(), unknownType(e.type()));
    boolean seen = !e.address().isEmpty();
    Life life = e.retiring() ? Life.RETIRING : seen ? Life.UP : Life.BOOTING;
    Machine m = new Machine(e.machine(), e.zone(), e.spot(), type, life, now());
    m.address = e.address();
    m.recorded = true;
    m.recordedRetiring = e.retiring();
    m.recordedAddress = e.address();
    m.everReported = seen;
    m.session = e.session();
    enlist(m);
    roster.adopt(m, Roster.size(e), value, e.place());
    return m;
  }

  /**
   * Takes over what is known of a part of a job. A task that is not done may be on the machine that
   * its mark names, and on no other: the mark is durable before the start is sent, and is changed
   * only when the task is known to be gone from there. So it waits for that machine alone.
   */
  private void fromMarks(Job j, Marks.Part p, Map<Integer, Machine> numbered, int value) {
    int first = p.part() * Marks.PART;
    p.done().stream().filter(i -> first + i < j.spec.tasks()).forEach(i -> j.done.set(first + i));
    j.noteDurable(p.part(), p.done());
    JobPart part = new JobPart(j, p.part());
    marks.adopt(part, part.marksSize(), value);
    for (int i = 0; i < p.hosts().length && first + i < j.spec.tasks(); i++) {
      Machine m = numbered.get(p.hosts()[i]);
      if (m != null && !j.done.get(first + i)) {
        TaskId task = new TaskId(j.spec.id(), first + i);
        Placement assumed = new Placement(j, task, -1, m, Stage.SENT, now());
        assumed.marked = true;
        add(assumed);
      }
    }
    if (j.complete()) {
      finishing.add(j);
    }
  }

  /** Takes over what may be left of a job that is over, see {@link #over}. */
  private void remainsFromMarks(Marks.Part p, Map<Integer, Machine> numbered, int value) {
    Job remains = Job.remains(p, p.claim().orElseThrow(), now());
    fromMarks(remains, p, numbered, value);
    for (Placement placement : remains.placed.values()) {
      placement.doomed = true;
      placement.hurried = true;
    }
    if (remains.placed.isEmpty()) {
      letGo(remains);
    }
  }

  private static MachineType unknownType(String name) {
    return new MachineType(name, 0, 0, 0, 0, 0.1, 0, 0, Duration.ofSeconds(60), List.of());
  }

  private void enlist(Machine m) {
    m.token = (term << TERM_SHIFT) + 1;
    m.renewed = formerLeaders;
    machines.put(m.name, m);
  }

  /**
   * A former leader may renew leases for as long as its proof holds, unless it has ended or knows
   * of our term. Both are known of every peer from when it said that it knows the term: it steps
   * down before it says so, and answers afterwards only reports that it had got before. So the
   * tasks of a machine that nobody hears are over a lease from now, not a lease after the hold:
   * whole zones that are cut off while their leader's process ends are done without so much sooner.
   */
  private void acknowledged() {
    Instant now = now();
    if (now.isBefore(formerLeaders)) {
      formerLeaders = now;
      machines.values().stream().filter(m -> m.renewed.isAfter(now)).forEach(m -> m.renewed = now);
      log.info(
          "event=former_leaders_over term={} after_ms={}",
          term,
          Duration.between(wonAt, now).toMillis());
    }
  }

  /** Notes when all machines that could hold what a former leader started have spoken. */
  private void noteRebuilt() {
    if (settledLogged
        || machines.values().stream().anyMatch(m -> !m.settled && !m.placements.isEmpty())) {
      return;
    }
    settledLogged = true;
    log.info("event=rebuilt term={} after_ms={}", term, Duration.between(wonAt, now()).toMillis());
  }

  // ---- Reports ----

  private ReportAnswer reported(Report r, String via) {
    if (!ready || !leads()) {
      return ReportAnswer.UNAVAILABLE;
    }
    if (r.token() >> TERM_SHIFT > term) {
      log.warn("event=report_of_higher_term machine={} token={}", r.machine(), r.token());
      higherTerm.accept(r.token() >> TERM_SHIFT);
      return ReportAnswer.UNAVAILABLE;
    }
    Machine m = machineOf(r);
    if (m == null || !r.newerThan(m.session, m.sequence)) {
      log.debug("event=report_dropped machine={}", r.machine());
      return ReportAnswer.UNAVAILABLE;
    }
    absorb(m, r, hears(m, r, via));
    m.answersSince = Optional.empty();
    m.renewed = now();
    m.via = via;
    List<Order> orders = ordersInAnswer(m, r);
    kick(m);
    m.answered = m.token;
    return new ReportAnswer(200, m.token, orders);
  }

  /** What goes with the answer to a report, which renews the lease of all that the machine runs. */
  private List<Order> ordersInAnswer(Machine m, Report r) {
    if (r.token() > m.token) {
      // The machine drops the answer, so that nothing is renewed.
      return List.of();
    }
    return m.settled ? orders(m, true) : StopCommands.forUnsettled(r, jobs::containsKey);
  }

  /**
   * Whether the machine has got the last answer, as far as its report can tell. One whose reports
   * come while answers and commands don't reach it has a voice, but its lease runs out all the
   * same: it shows an older token than it was answered with, or turns to another controller
   * although it was answered, as workers do when no answer comes. A higher token makes sure.
   */
  private boolean hears(Machine m, Report r, String via) {
    if (r.token() < m.answered) {
      m.unheard++;
      return false;
    }
    m.unheard = 0;
    if (m.via.isEmpty() || m.via.equals(via)) {
      return true;
    }
    if (m.token <= r.token()) {
      raise(m);
    }
    return false;
  }

  private Machine machineOf(Report r) {
    Machine m = machines.get(r.machine());
    if (m == null) {
      if (removed.contains(r.machine())) {
        return null;
      }
      MachineType type = types.getOrDefault(r.type(), unknownType(r.type()));
      m = new Machine(r.machine(), r.zone(), r.spot(), type, Life.UP, now());
      enlist(m);
      log.info("event=machine_unexpected term={} machine={}", term, m.name);
    }
    return m;
  }

  /**
   * Takes in what a worker says, from whichever way it came. The message must be a newer one.
   *
   * @param hears whether it shows that what we say reaches the machine
   */
  private void absorb(Machine m, Report r, boolean hears) {
    noteReported(m, r);
    if (!m.settled) {
      if (r.token() >> TERM_SHIFT != term) {
        // It has not heard of this term, or is a late copy: it says nothing of what an old command
        // may yet do, nor that the machine is alive.
        return;
      }
      m.settled = true;
      schedule();
    }
    noteAlive(m, r, hears);
    Map<Ended, Long> oldEnded = new HashMap<>(m.ended);
    m.ended.clear();
    Map<Ended, Instant> oldForeign = new HashMap<>(m.foreign);
    m.foreign.clear();
    Set<Placement> seen = new HashSet<>();
    for (TaskReport t : r.tasks()) {
      if (t.stage() == Report.Stage.ENDED) {
        absorbEnded(m, r, t, oldEnded);
      } else {
        absorbPresent(m, r, t, oldForeign).ifPresent(seen::add);
      }
    }
    removeUnseen(m, r, seen);
    if (m.takenAt.isPresent()) {
      drain(m);
    }
    if (!m.foreign.isEmpty()) {
      eager.add(m);
    }
  }

  /** Takes in what a report says of the machine itself, whatever term it has heard of. */
  private void noteReported(Machine m, Report r) {
    Instant now = now();
    if (r.session() > m.session && now.isAfter(m.renewed)) {
      // A session's lease runs from when it began, without any answer: what is started in it by
      // direct commands may live as long as if the last report had been answered now.
      m.renewed = now;
    }
    m.session = r.session();
    m.sequence = r.sequence();
    m.seenToken = Math.max(m.seenToken, r.token());
    m.address = r.address();
    if (m.life == Life.BOOTING) {
      m.life = Life.UP;
    }
    if (m.recorded && !m.recordedAddress.equals(m.address)) {
      m.recordedAddress = m.address;
      roster.due(m, now.plus(LEISURE));
    }
    if (!m.everReported) {
      m.everReported = true;
      log.info(
          "event=machine_up term={} machine={} type={} zone={} spot={} after_ms={}",
          term,
          m.name,
          m.type.name(),
          m.zone,
          m.spot,
          Duration.between(m.rented, now).toMillis());
    }
  }

  /** Notes that a machine lives, and for how long it will. */
  private void noteAlive(Machine m, Report r, boolean hears) {
    Instant now = now();
    if (hears) {
      m.heard = now;
      if (m.missedProbes > 0) {
        m.missedProbes = 0;
        m.directAfter = now;
      }
    }
    m.lost = false;
    if (r.notice().isPresent() && m.takenAt.isEmpty()) {
      log.info("event=spot_notice term={} machine={} left={}", term, m.name, r.notice().get());
    }
    m.takenAt = r.notice().map(now::plus);
  }

  /** The job of a reported task; empty when it is over or has no such task. */
  private Optional<Job> jobOf(TaskReport t) {
    return Optional.ofNullable(jobs.get(t.task().job()))
        .filter(job -> t.task().index() < job.spec.tasks());
  }

  /** What is known of a reported attempt; one that a former leader gave is known from now on. */
  private Optional<Placement> placementOf(Machine m, Report r, TaskReport t) {
    Placement p = m.placements.get(t.task());
    if (p != null && p.attempt < 0) {
      p.attempt = t.attempt();
      p.token = r.token();
      p.session = r.session();
    }
    return Optional.ofNullable(p).filter(known -> known.attempt == t.attempt());
  }

  private void absorbEnded(Machine m, Report r, TaskReport t, Map<Ended, Long> oldEnded) {
    Optional<Placement> placement = placementOf(m, r, t);
    // What is done stays done however often it is started: no token need be raised for it.
    long started = t.cause().equals("done") ? -1 : placement.map(p -> p.token).orElse(m.token);
    Ended key = new Ended(t.task(), t.attempt());
    m.ended.put(key, oldEnded.getOrDefault(key, started));
    placement.ifPresent(this::remove);
    ended(m, jobOf(t).orElse(null), t, placement.orElse(null));
  }

  /** Takes in a task that is on the machine; empty if it must not be there. */
  private Optional<Placement> absorbPresent(
      Machine m, Report r, TaskReport t, Map<Ended, Instant> oldForeign) {
    Optional<Job> job = jobOf(t);
    Optional<Placement> placement = placementOf(m, r, t);
    if (placement.isEmpty() && job.isPresent() && !job.get().done.get(t.task().index())) {
      placement = adopt(job.get(), m, r, t);
    }
    if (placement.isEmpty()) {
      Ended key = new Ended(t.task(), t.attempt());
      m.foreign.put(key, oldForeign.getOrDefault(key, Instant.MIN));
    }
    placement.ifPresent(p -> progress(p, t.stage()));
    return placement;
  }

  /** Takes a task over that nobody knew to be here; empty if it is known to be elsewhere. */
  private Optional<Placement> adopt(Job job, Machine m, Report r, TaskReport t) {
    Placement other = job.placed.get(t.task().index());
    if (other != null && other.stage == Stage.PLANNED) {
      remove(other);
      other = null;
    }
    if (other != null) {
      log.error(
          "event=task_twice task={} machine={} other={}", t.task(), m.name, other.machine.name);
      return Optional.empty();
    }
    Placement adopted = new Placement(job, t.task(), t.attempt(), m, Stage.SENT, job.submitted);
    adopted.token = r.token();
    adopted.session = r.session();
    add(adopted);
    mark(adopted);
    return Optional.of(adopted);
  }

  /** What is not in the report is gone only if no command for it can still be on its way. */
  private void removeUnseen(Machine m, Report r, Set<Placement> seen) {
    for (Placement p : List.copyOf(m.placements.values())) {
      if (p.stage != Stage.PLANNED
          && !seen.contains(p)
          && (p.confirmed || p.session < r.session() || p.token < r.token())) {
        remove(p);
      }
    }
  }

  private void progress(Placement p, Report.Stage stage) {
    p.confirmed = true;
    Stage before = p.stage;
    p.stage =
        switch (stage) {
          case FETCHING -> Stage.FETCHING;
          case FLUSHING -> Stage.SAVING;
          default -> Stage.RUNNING;
        };
    if (p.stage == Stage.RUNNING && before != Stage.RUNNING) {
      log.debug(
          "event=running term={} machine={} task={} attempt={} since_submit_ms={} since_start_ms={}",
          term,
          p.machine.name,
          p.task,
          p.attempt,
          Duration.between(p.job.submitted, now()).toMillis(),
          Duration.between(p.since, now()).toMillis());
      p.machine.noteImage(p.job.spec.image(), p.job.spec.imageGb());
      Instant now = now();
      if (before == Stage.SENT || before == Stage.FETCHING) {
        startMillis.recordValue(
            Math.max(0, Math.min(3_600_000, Duration.between(p.since, now).toMillis())));
      }
      p.since = now;
    }
  }

  private void ended(Machine m, Job job, TaskReport t, Placement p) {
    if (job == null) {
      return;
    }
    switch (t.cause()) {
      case "done" -> {
        if (!job.succeeded) {
          // Where it failed before, the machine was at fault.
          job.succeeded = true;
          job.notBefore = Instant.MIN;
          for (String name : job.failedOn) {
            Optional.ofNullable(machines.get(name)).ifPresent(this::judge);
          }
        }
        m.noteSuccess();
        if (!job.spec.service() && !job.done.get(t.task().index())) {
          Placement other = job.placed.get(t.task().index());
          if (other != null) {
            doom(other);
          }
          job.done.set(t.task().index());
          requeue(job);
          if (job.complete()) {
            finishing.add(job);
            planCommit();
          } else {
            // Until it is written, the worker goes on to show it: there is no hurry.
            JobPart part = JobPart.of(job, t.task().index());
            marks.put(part, part.marksSize());
            marks.due(part, now().plus(LEISURE));
          }
        }
      }
      case "error" -> {
        if (p != null) {
          failed(m, job);
        }
      }
      default -> {
        if (p != null && !t.cause().equals("stopped")) {
          log.info(
              "event=start_refused term={} machine={} task={} attempt={} cause={}",
              term,
              m.name,
              t.task(),
              t.attempt(),
              t.cause());
          // The books were wrong about this machine or job: look elsewhere for a moment.
          if (t.cause().equals("no_such")) {
            job.notBefore = now().plusSeconds(2);
          } else {
            m.avoidUntil = now().plusSeconds(2);
          }
        }
      }
    }
  }

  /**
   * Errors of several jobs on one machine point at the machine; errors of one job on several
   * machines point at the job. Both are counted, and until it is clear both are given a rest. A job
   * that was submitted with a mistake fails on healthy machines: once it is known, they are not
   * blamed for it, while the job is tried ever more rarely.
   */
  private void failed(Machine m, Job job) {
    Instant now = now();
    job.failedOn.add(m.name);
    m.noteFailure(job);
    if (job.mistaken()) {
      if (!now.isBefore(job.notBefore)) {
        job.notBefore = now.plusSeconds(Math.min(60, 4L << Math.min(4, job.retries++)));
      }
      for (String name : job.failedOn) {
        Machine other = machines.get(name);
        if (other != null && other.strikes() == 0) {
          other.avoidUntil = Instant.MIN;
        }
      }
    } else {
      m.avoidUntil = now.plusSeconds(Math.min(60, 5L << Math.min(4, m.strikes())));
    }
    judge(m);
  }

  private void judge(Machine m) {
    if (!m.faulty && m.failsWhatItStarts()) {
      m.faulty = true;
      log.warn("event=machine_faulty term={} machine={} strikes={}", term, m.name, m.strikes());
    }
  }

  /** A machine that will be taken: saves what can be saved and moves what can't finish. */
  private void drain(Machine m) {
    Instant now = now();
    Duration left = Duration.between(now, m.takenAt.orElse(now));
    for (Placement p : List.copyOf(m.placements.values())) {
      if (p.doomed) {
        continue;
      }
      JobSpec s = p.job.spec;
      boolean saves = !s.checkpoint().isZero();
      Duration ran = Duration.between(p.since, now);
      boolean running = p.stage == Stage.RUNNING;
      Duration remaining = running ? s.estimate().minus(ran) : s.estimate();
      if (saves ? left.compareTo(s.save().plusSeconds(4)) < 0 || !running : false) {
        doom(p);
      } else if (s.service() || (!saves && remaining.compareTo(left.multipliedBy(2)) > 0)) {
        doom(p);
      }
    }
  }

  private void add(Placement p) {
    p.machine.add(p);
    p.job.add(p);
    requeue(p.job);
    if (p.stage == Stage.PLANNED) {
      eager.add(p.machine);
    }
  }

  /** Keeps the queue true after a job's tasks changed. */
  private void requeue(Job j) {
    if (ready && jobs.get(j.spec.id()) == j && j.pending() > 0) {
      queue.add(j);
      schedule();
    } else {
      queue.remove(j);
    }
  }

  private void remove(Placement p) {
    p.machine.remove(p);
    p.job.remove(p);
    if (p.ranFor(now()).compareTo(Job.A_START) >= 0) {
      p.job.begun = true;
    }
    if (p.job.placed.isEmpty() && jobs.get(p.job.spec.id()) != p.job) {
      letGo(p.job);
    }
    requeue(p.job);
    schedule();
  }

  /** Decides that a placement must go. */
  private void doom(Placement p) {
    if (p.stage == Stage.PLANNED) {
      remove(p);
      return;
    }
    if (p.doomed) {
      return;
    }
    p.doomed = true;
    p.machine.touch();
    eager.add(p.machine);
    if (!p.confirmed && p.attempt >= 0 && !p.machine.calling) {
      // The start command may still be on its way; only a higher token can overtake it.
      raise(p.machine);
    }
  }

  private void raise(Machine m) {
    m.token++;
  }

  /** The machine of the placement is to be named in the task's mark, and in the roster. */
  private void mark(Placement p) {
    JobPart part = JobPart.of(p.job, p.task.index());
    enroll(p.machine);
    if (!p.machine.recorded) {
      roster.due(p.machine);
    }
    marks.put(part, part.marksSize());
    marks.due(part);
    planCommit();
  }

  private void enroll(Machine m) {
    roster.put(m, Roster.size(m.rosterEntry(0)));
  }

  /** The machine is gone, or nothing can be alive on it: the roster need not name it any more. */
  private void strike(Machine m) {
    roster.due(m, now().plus(LEISURE));
    roster.remove(m);
    m.recorded = false;
    m.recordedRetiring = false;
  }

  // ---- The pass ----

  private void schedule() {
    if (!passPlanned && leading && !queue.isEmpty()) {
      passPlanned = true;
      long t = term;
      loop.after(PASSES.restAfter(lastPass), () -> tell(new Pass(t)));
    }
  }

  private boolean placeable(Machine m, Instant now) {
    return m.life == Life.UP
        && m.settled
        && !m.lost
        && !m.faulty
        && m.takenAt.isEmpty()
        && m.everReported
        && m.unheard == 0
        && !mute(m, now)
        && !now.isBefore(m.avoidUntil)
        && Duration.between(m.heard, now).compareTo(times.usable()) < 0;
  }

  private Map<String, Placer.Use> uses() {
    Map<String, Placer.Use> uses = new HashMap<>();
    if (teams.values().stream().noneMatch(Team::bounded)) {
      return uses;
    }
    for (Machine m : machines.values()) {
      for (Placement p : m.placements.values()) {
        Placer.charge(uses, p.job.spec, 1);
      }
    }
    return uses;
  }

  private void pass() {
    Instant now = now();
    Function<Job, JobOrder.Turn> turns = order.turns(now);
    List<Job> waiting = order.waiting(queue, turns, now);
    if (!waiting.isEmpty()) {
      List<Machine> usable = new ArrayList<>();
      for (Machine m : machines.values()) {
        if (placeable(m, now)) {
          usable.add(m);
        }
      }
      Instant heardSince = now.minus(times.recent());
      Placer placer =
          new Placer(
              tuning,
              random,
              teams,
              usable,
              waiting,
              uses(),
              classes::startWithin,
              Comparator.comparing(turns),
              heardSince,
              now);
      Set<Machine> touched = new LinkedHashSet<>();
      for (Job j : waiting) {
        place(placer, j, touched, now);
      }
      touched.forEach(this::kick);
    }
    dispatchAll();
    lastPass = Duration.between(now, now());
    passMicros.recordValue(Math.min(3_600_000_000L, lastPass.toNanos() / 1000));
  }

  private void place(Placer placer, Job j, Set<Machine> touched, Instant now) {
    boolean pressing = JobOrder.pressing(j, now);
    // Of a job that fails everywhere one task is tried at a time: it takes no room and no writes.
    boolean one = JobOrder.begins(j, now) || j.mistaken();
    for (int i = j.nextPending(0); i >= 0; i = j.nextPending(i + 1)) {
      Optional<Placer.Choice> choice = placer.place(j, pressing);
      j.noRoom = choice.isEmpty();
      if (choice.isEmpty()) {
        return;
      }
      Machine m = choice.get().machine();
      for (Placement victim : choice.get().victims()) {
        log.info(
            "event=evict term={} machine={} task={} attempt={} for={}/{}",
            term,
            m.name,
            victim.task,
            victim.attempt,
            j.spec.id(),
            i);
        victim.hurried = classes.tooLateIfSaved(j.spec, victim.job.spec, m.type);
        doom(victim);
        touched.add(m);
      }
      Placement p =
          new Placement(j, new TaskId(j.spec.id(), i), attempts.next(), m, Stage.PLANNED, now);
      add(p);
      log.debug(
          "event=placed term={} machine={} task={} attempt={} class={} image={} cached={}",
          term,
          m.name,
          p.task,
          p.attempt,
          j.spec.jobClass(),
          j.spec.image(),
          m.images.containsKey(j.spec.image()));
      mark(p);
      if (one) {
        return;
      }
    }
  }

  /** Sends start commands for all that is decided, durable and has its room free. */
  private void dispatchAll() {
    for (Iterator<Machine> it = eager.iterator(); it.hasNext(); ) {
      Machine m = it.next();
      if (machines.get(m.name) == m) {
        kick(m);
      }
      boolean planned = m.placements.values().stream().anyMatch(p -> p.stage == Stage.PLANNED);
      if (machines.get(m.name) != m || !(planned || wantsCall(m))) {
        it.remove();
      }
    }
  }

  /** Placements that may be started now; they count as sent from here on. */
  private List<Order> starts(Machine m, Set<Ended> cleared) {
    List<Order> orders = new ArrayList<>();
    if (!m.recorded || m.life != Life.UP || !m.settled || m.lost) {
      return orders;
    }
    Machine.Room room = null;
    for (Placement p : List.copyOf(m.placements.values())) {
      if (p.stage != Stage.PLANNED || !p.marked) {
        continue;
      }
      if (m.ended.keySet().stream()
          .anyMatch(e -> e.task().equals(p.task) && !cleared.contains(e))) {
        continue; // the worker might call the task busy
      }
      if (room == null) {
        room = m.physicalRoom();
      }
      if (!room.fits(p.job) || !mayStart()) {
        continue;
      }
      room.take(p.job);
      p.stage = Stage.SENT;
      p.token = m.token;
      p.session = m.session;
      orders.add(Order.run(p.task, p.attempt));
    }
    return orders;
  }

  /**
   * Whether leases may be renewed and commands sent: only while it is known that no other leads,
   * and of which jobs were cancelled, as of at most hold ago. A renewal of the grant shows the
   * former alone: a leader whose watch is stuck would keep cancelled tasks alive.
   */
  private boolean leads() {
    Instant now = now();
    return leading && now.isBefore(evidence.plus(hold)) && now.isBefore(fresh.plus(hold));
  }

  /**
   * Whether starts may be sent. From when a user is told that a job is cancelled none of its tasks
   * may begin, so a start needs later knowledge than a lease: whoever stood still, or is refused by
   * the state service, looks again first. Half of the hold leaves time to a leader that has just
   * taken over and hears everything late.
   */
  private boolean mayStart() {
    return leads() && now().isBefore(fresh.plus(startKnowledge));
  }

  private static Duration startKnowledge(Duration hold) {
    Duration half = hold.dividedBy(2);
    return half.compareTo(WATCH_AGE) > 0 ? half : WATCH_AGE;
  }

  /** All that the worker has to be told now. */
  private List<Order> orders(Machine m, boolean inAnswer) {
    List<Order> orders = StopCommands.due(m, inAnswer, now());
    for (Placement p : m.placements.values()) {
      boolean startSeemsLost = p.stage == Stage.SENT && !p.confirmed && !p.doomed && !m.calling;
      if (inAnswer && startSeemsLost && mayStart()) {
        // The same attempt can't run twice, whatever comes late.
        p.token = m.token;
        p.session = m.session;
        orders.add(Order.run(p.task, p.attempt));
      }
    }
    Set<Ended> cleared = new HashSet<>();
    for (Map.Entry<Ended, Long> entry : m.ended.entrySet()) {
      Ended e = entry.getKey();
      Job job = jobs.get(e.task().job());
      if (job != null && job.done.get(e.task().index()) && !job.durableDone.get(e.task().index())) {
        continue;
      }
      // After a clear the worker would take a late start command for a new one, be it in doubt, on
      // its way or a copy. So what clears an attempt carries a higher token than any start of it
      // did: from then on the worker refuses those. Only what is done may be started again: it
      // stays done.
      if (entry.getValue() < 0 && (m.calling || m.inDoubt())) {
        continue;
      }
      if (m.token <= entry.getValue()) {
        raise(m);
      }
      orders.add(Order.clear(e.task(), e.attempt()));
      cleared.add(e);
    }
    orders.addAll(starts(m, cleared));
    return orders;
  }

  // ---- Direct commands ----

  private boolean wantsCall(Machine m) {
    if (StopCommands.unsent(m)) {
      return true;
    }
    for (Placement p : m.placements.values()) {
      if (p.stage == Stage.PLANNED && p.marked && m.recorded) {
        return true;
      }
    }
    return false;
  }

  /** Sends what is due straight to the worker, unless a call is under way or just failed. */
  private void kick(Machine m) {
    if (!ready
        || m.calling
        || !m.settled
        || m.lost
        || m.address.isEmpty()
        || m.life != Life.UP
        || now().isBefore(m.directAfter)
        || !leads()
        || !wantsCall(m)) {
      return;
    }
    List<Order> orders = orders(m, false);
    if (!orders.isEmpty()) {
      send(m, orders);
    }
  }

  /** Asks a machine of the roster for its state, and shows it our token on the way. */
  private void probe(Machine m) {
    if (!m.calling && !m.address.isEmpty()) {
      send(m, List.of());
    }
  }

  /**
   * After a takeover all machines report by themselves, and again at once when the answer shows
   * them the new token. Asking each is sooner only where the processor can open so many connections
   * in less time than that; elsewhere it delays the answers to those reports, and leases run out.
   */
  private void planProbes() {
    Duration asking = PROBE_COST.multipliedBy(machines.size());
    boolean soonerThanReports =
        Fields.seconds(asking) / settings.cpuShare() < Fields.seconds(settings.workers().report());
    probesFrom = soonerThanReports ? now() : now().plus(times.reportDue());
    probeMore();
    if (!soonerThanReports) {
      long t = term;
      loop.after(times.reportDue(), () -> tell(new Probes(t)));
    }
  }

  /** Asks all that have not shown themselves, a part at a time: each costs time and a socket. */
  private void probeMore() {
    if (now().isBefore(probesFrom)) {
      return;
    }
    while (probing < PROBES && !unprobed.isEmpty()) {
      Machine m = unprobed.poll();
      if (!m.settled && !m.calling && machines.get(m.name) == m && !m.address.isEmpty()) {
        send(m, List.of());
      }
    }
  }

  private void send(Machine m, List<Order> orders) {
    m.calling = true;
    probing += orders.isEmpty() ? 1 : 0;
    long token = m.token;
    ObjectNode body = MessagePack.map().put("baton", token).put("stint", m.session);
    var list = body.putArray("orders");
    orders.forEach(o -> list.add(o.toNode()));
    long t = term;
    calls.call(
        m.address,
        "POST",
        "/do",
        body,
        orders.isEmpty() ? PROBE_TIMEOUT : DO_TIMEOUT,
        reply -> tell(new Done(t, m, token, orders, reply)));
  }

  private void done(Done d) {
    Machine m = d.machine;
    m.calling = false;
    probing -= d.orders.isEmpty() ? 1 : 0;
    if (!unprobed.isEmpty()) {
      probeMore();
    }
    if (machines.get(m.name) != m) {
      return;
    }
    if (d.reply.status() == 200 || d.reply.status() == 409) {
      try {
        Report r = Report.parse(d.reply.body());
        if (!r.machine().equals(m.name)) {
          throw new Malformed("answer of another machine");
        }
        if (r.token() >> TERM_SHIFT > term) {
          higherTerm.accept(r.token() >> TERM_SHIFT);
          return;
        }
        if (d.reply.status() == 409) {
          refused(m, d);
        }
        boolean wasSettled = m.settled;
        if (r.newerThan(m.session, m.sequence)) {
          absorb(m, r, true);
          m.answersSince = m.answersSince.or(() -> Optional.of(now()));
        }
        if (!wasSettled && !m.settled && d.reply.status() == 409) {
          probe(m);
        } else {
          kick(m);
        }
        return;
      } catch (Malformed e) {
        log.warn("event=worker_answer_malformed machine={} reason={}", m.name, e.getMessage());
      }
    }
    if (d.reply.notSent()) {
      // Not a sign of anything about the machine: the next report or moment brings another chance.
      refused(m, d);
      m.directAfter = now().plus(FIRST_PAUSE);
      return;
    }
    if (d.orders.isEmpty()) {
      // Each miss doubles the pause: a zone that is cut off must not keep us busy.
      m.missedProbes++;
      Duration pause = FIRST_PAUSE.multipliedBy(1L << Math.min(6, m.missedProbes));
      m.directAfter = now().plus(pause);
      return;
    }
    // It may have been executed, or be executed later: a higher token puts an end to that.
    m.doubtToken = Math.max(m.doubtToken, d.token);
    raise(m);
    m.directAfter = now().plus(DIRECT_PAUSE);
    log.info("event=command_in_doubt term={} machine={} token={}", term, m.name, d.token);
  }

  /**
   * Nothing was executed, and nothing will be: its starts go back to where they were, unless sent
   * otherwise.
   */
  private void refused(Machine m, Done d) {
    for (Order o : d.orders) {
      Placement p = m.placements.get(o.task());
      if (p == null || p.attempt != o.attempt()) {
        continue;
      }
      if (o.verb() == Order.Verb.KILL) {
        p.kills = 0;
      } else if (o.verb() == Order.Verb.RUN && !p.confirmed && p.token == d.token) {
        if (p.doomed) {
          remove(p);
        } else {
          p.stage = Stage.PLANNED;
          eager.add(m);
        }
      }
    }
  }

  // ---- Writing ----

  private void planCommit() {
    if (commitPlanned || committing || !leading) {
      return;
    }
    commitPlanned = true;
    // A commit pays for its changes with the time until the next one, so that half of all writes
    // is left to users.
    Duration pause = Fields.duration(lastChanges / (0.5 * settings.stateLimits().writeRps()));
    if (pause.compareTo(COMMIT_SPACING) < 0) {
      pause = COMMIT_SPACING;
    }
    Duration since = lastCommit.equals(Instant.MIN) ? pause : Duration.between(lastCommit, now());
    Duration wait = pause.minus(since);
    long t = term;
    if (wait.isNegative() || wait.isZero()) {
      // After this message: what the rest of the pass decides goes along.
      loop.execute(() -> tell(new TryCommit(t)));
    } else {
      loop.after(wait, () -> tell(new TryCommit(t)));
    }
  }

  /** Writes all that is due in one transaction, guarded by the term. */
  private void commit() {
    if (committing || !ready) {
      return;
    }
    LeaderTransaction transaction = nextTransaction();
    if (transaction.isEmpty() && !beat) {
      return;
    }
    beat = false;
    committing = true;
    lastCommit = now();
    lastChanges = transaction.changes().size();
    long t = term;
    state.commit(
        transaction.guards(),
        transaction.changes(),
        reply -> tell(new Committed(t, transaction, reply)));
  }

  /** First what waiting tasks need, then what users wait to hear, then what can wait. */
  private LeaderTransaction nextTransaction() {
    LeaderTransaction transaction =
        new LeaderTransaction(settings.stateLimits().txnOps(), term, termStamp, ++commits);
    if (catalogueDirty && !types.isEmpty()) {
      transaction.addCatalogue(types.values(), settings.stateLimits().valueBytes());
    }
    writeRosters(roster.urgent(), transaction);
    writeMarks(marks.urgent(), transaction);
    for (Job j : finishing) {
      if (!transaction.hasRoomForEnd()) {
        break;
      }
      transaction.addEnd(j);
    }
    Instant now = now();
    writeRosters(roster.overdue(now), transaction);
    writeMarks(marks.overdue(now), transaction);
    removeGarbage(transaction);
    return transaction;
  }

  private void writeRosters(List<Integer> numbers, LeaderTransaction transaction) {
    for (int n : numbers) {
      if (transaction.hasRoom()) {
        transaction.addRoster(n, roster);
        garbage.remove(Keys.roster(n));
      }
    }
  }

  private void writeMarks(List<Integer> numbers, LeaderTransaction transaction) {
    for (int n : numbers) {
      if (transaction.hasRoom()) {
        transaction.addMarks(n, marks, roster);
        garbage.remove(Keys.marks(n));
      }
    }
  }

  private void removeGarbage(LeaderTransaction transaction) {
    for (Iterator<String> it = garbage.iterator();
        it.hasNext() && transaction.hasRoomForRemoval(); ) {
      String key = it.next();
      boolean reused =
          Keys.isMarks(key) ? !marks.isEmpty(Keys.number(key)) : !roster.isEmpty(Keys.number(key));
      if (reused) {
        it.remove();
      } else {
        transaction.addRemoval(key);
      }
    }
  }

  private void committed(LeaderTransaction transaction, Reply reply) {
    if (reply.ok()) {
      committing = false;
      termStamp = reply.body().path("epoch").asLong(termStamp);
      applied(transaction);
      if (workToWrite()) {
        planCommit();
      }
      return;
    }
    transaction.rosters().forEach(roster::due);
    transaction.marks().forEach(marks::due);
    List<String> failed = reply.status() == 409 ? StateClient.failedGuards(reply) : List.of();
    if (failed.contains(Keys.LEVEL) && !failed.contains(Keys.TERM)) {
      // The level of stored forms was switched: the watch says whether this build supports it.
      log.info("event=commit_under_former_level term={}", term);
      committing = false;
      retryCommit();
      return;
    }
    if (reply.status() == 409 && !failed.contains(Keys.TERM)) {
      // Somebody was faster with these jobs, by cancelling them; the watch brings the news.
      committing = false;
      for (Job j : transaction.finished()) {
        if (failed.contains(Keys.live(j.spec.id()))) {
          finishing.remove(j);
        }
      }
      planCommit();
      return;
    }
    long t = term;
    if (reply.status() == 409 || reply.status() == 0) {
      loop.after(
          reply.status() == 0 ? Duration.ofMillis(300) : Duration.ofMillis(1),
          () -> state.read(Keys.TERM, r -> tell(new TermRead(t, r))));
      return;
    }
    log.info("event=commit_put_off term={} status={}", term, reply.status());
    committing = false;
    retryCommit();
  }

  private void retryCommit() {
    commitPlanned = true;
    long t = term;
    loop.after(Duration.ofMillis(150 + random.nextInt(200)), () -> tell(new TryCommit(t)));
  }

  /** After a transaction of unknown outcome: is the term still ours, and at which stamp? */
  private void termRead(Reply reply) {
    if (reply.ok()) {
      long found = reply.body().path("value").path("term").asLong();
      if (found > term) {
        higherTerm.accept(found);
        return;
      }
      // Applied or not: what is due is still marked as due and goes out again, guarded by the
      // stamp as it is now. Should the old transaction come after all, it will find another one.
      termStamp = reply.body().path("stamp").asLong(termStamp);
      committing = false;
      retryCommit();
      return;
    }
    long t = term;
    loop.after(
        Duration.ofMillis(300 + random.nextInt(200)),
        () -> state.read(Keys.TERM, r -> tell(new TermRead(t, r))));
  }

  private boolean workToWrite() {
    Instant now = now();
    return catalogueDirty
        || !finishing.isEmpty()
        || !garbage.isEmpty()
        || !roster.urgent().isEmpty()
        || !marks.urgent().isEmpty()
        || !roster.overdue(now).isEmpty()
        || !marks.overdue(now).isEmpty();
  }

  private void applied(LeaderTransaction transaction) {
    transaction.marked().forEach(p -> p.marked = true);
    transaction.done().forEach((part, bits) -> part.job().noteDurable(part.part(), bits));
    for (Roster.Entry e : transaction.machines()) {
      Machine m = machines.get(e.machine());
      if (m != null && roster.home(m).isPresent()) {
        m.recorded = true;
        m.recordedRetiring = e.retiring();
        m.recordedAddress = e.address();
      }
    }
    for (Job j : transaction.finished()) {
      jobs.remove(j.spec.id());
      over(j);
      j.durableDone.or(j.done);
      log.info(
          "event=job_done term={} job={} after_ms={}",
          term,
          j.spec.id(),
          Duration.between(j.submitted, now()).toMillis());
      for (Placement p : List.copyOf(j.placed.values())) {
        doom(p);
      }
    }
    transaction.dropped().forEach(garbage::remove);
    if (transaction.hasCatalogue()) {
      catalogueDirty = false;
    }
    dispatchAll();
    deleteRetired();
  }

  // ---- Time ----

  private void tick() {
    long t = term;
    loop.after(TICK, () -> tell(new Tick(t)));
    if (!ready) {
      return;
    }
    Instant now = now();
    silence = Optional.empty();
    // A large fleet is looked after in slices, each machine once a second at the latest.
    int slices = Math.min(4, 1 + machines.size() / 100);
    int i = ++ticks;
    for (Machine m : List.copyOf(machines.values())) {
      if (++i % slices == 0 || !m.settled) {
        watch(m, now);
      }
    }
    noteRebuilt();
    schedule();
    dispatchAll();
    if (now.isAfter(nextRent)) {
      rent(now);
      nextRent = now.plus(RENTING.restAfter(Duration.between(now, now())));
    }
    if (now.isAfter(nextCounts)) {
      nextCounts = now.plusSeconds(1);
      collectGarbage();
      tellCounts();
    }
    if (now.isAfter(nextFigures)) {
      nextFigures = now.plusSeconds(60);
      figures(now);
      startMillis.reset();
      passMicros.reset();
    }
    if (workToWrite()) {
      planCommit();
    }
  }

  /** What an operator wants to see at a glance, once a minute. */
  private void figures(Instant now) {
    int usable = 0;
    int faulty = 0;
    int avoided = 0;
    int[] stages = new int[Stage.values().length];
    int doomed = 0;
    double free = 0;
    for (Machine m : machines.values()) {
      if (placeable(m, now)) {
        usable++;
        free += m.room().cpus;
      }
      faulty += m.faulty ? 1 : 0;
      avoided += now.isBefore(m.avoidUntil) ? 1 : 0;
      for (Placement p : m.placements.values()) {
        stages[p.stage.ordinal()]++;
        doomed += p.doomed ? 1 : 0;
      }
    }
    log.info(
        "event=figures term={} jobs={} waiting_tasks={} machines={} usable={} faulty={} avoided={}"
            + " free_cpus={} stages={} doomed={} start_ms_p50={} start_ms_p99={} pass_us_p50={}"
            + " pass_us_p99={}",
        term,
        jobs.size(),
        jobs.values().stream().mapToInt(Job::pending).sum(),
        machines.size(),
        usable,
        faulty,
        avoided,
        free,
        Arrays.toString(stages).replace(" ", ""),
        doomed,
        startMillis.getValueAtPercentile(50),
        startMillis.getValueAtPercentile(99),
        passMicros.getValueAtPercentile(50),
        passMicros.getValueAtPercentile(99));
  }

  /**
   * Whether there is nothing to look after: the machine reports, hears, keeps its lease and is to
   * stay. Nearly all machines are like this nearly always, so this is asked before all else.
   */
  private boolean healthy(Machine m, Instant now) {
    return m.life == Life.UP
        && m.settled
        && !m.lost
        && !m.faulty
        && m.takenAt.isEmpty()
        && m.answersSince.isEmpty()
        && now.isBefore(m.heard.plus(times.reportDue()))
        && now.isBefore(m.renewed.plus(times.lease()));
  }

  /** Looks after one machine: silence, death, idling. */
  private void watch(Machine m, Instant now) {
    if (healthy(m, now)) {
      return;
    }
    if (m.everReported && !m.lost && !m.renewed.equals(Instant.MIN) && leaseOver(m, now)) {
      // Silent for longer than any lease that was ever renewed: nothing can be alive there.
      m.lost = true;
      // Its worker has gone on to another session, and has to show that, with our token: reports of
      // this one that a cut had held back say only what was.
      m.settled = false;
      m.session++;
      m.sequence = -1;
      m.ended.clear();
      m.foreign.clear();
      int dropped = m.placements.size();
      for (Placement p : List.copyOf(m.placements.values())) {
        remove(p);
      }
      if (m.life == Life.UP) {
        // A successor need not wait for it again. Before its next start it is recorded anew.
        strike(m);
      }
      log.warn("event=machine_lost term={} machine={} tasks={}", term, m.name, dropped);
    }
    Instant spoke = spoke(m);
    Duration silence = Duration.between(spoke, now);
    boolean quiet = silence.compareTo(times.reportDue()) > 0;
    if (m.life == Life.UP
        && m.everReported
        && !m.lost
        && ((!m.settled && unprobed.isEmpty()) || quiet)
        && !m.calling
        && probing < PROBES
        && now.isAfter(m.directAfter)) {
      probe(m);
    }
    // Replicas on a machine that is merely cut off still count and may serve: half of a lease is
    // waited for them, the rest is kept for what may come between, an outage in which nothing can
    // be
    // marked or an election. Other work is done again, the sooner the better.
    boolean serves = m.replicas() > 0;
    boolean few = silence(now).few();
    Duration patience = serves && (m.settled || !few) ? times.halfLease() : times.silent();
    boolean deaf =
        m.life == Life.UP
            && !m.lost
            && m.missedProbes >= 2
            && silence.compareTo(patience) > 0
            && (!m.placements.isEmpty() || !m.settled)
            && (few || (serves && silence(now).minority()));
    if (!m.faulty && m.takenAt.isEmpty() && m.life == Life.UP) {
      if (now.isAfter(m.heard.plus(times.abandoned()))) {
        unplan(m);
      }
    } else {
      unplan(m);
    }
    boolean neverCame =
        m.life == Life.BOOTING
            && now.isAfter(m.rented.plus(m.type.boot().multipliedBy(4)).plusSeconds(5));
    // When most of a zone is silent, it is cut off, and its machines come back with it, each with
    // the images that it has: those given back would have to be rented again, and boot, and fetch.
    int leases = silence(now).zones().contains(m.zone) ? LEASES_OF_A_CUT : 2;
    boolean silentLong =
        m.lost && now.isAfter(spoke.plus(times.lease().multipliedBy(leases))) && m.life == Life.UP;
    boolean takenAway =
        m.takenAt.isPresent()
            && now.isAfter(m.takenAt.get().plusSeconds(2))
            && now.isAfter(m.heard.plusSeconds(3));
    boolean faultyEmpty = m.faulty && m.life == Life.UP && m.placements.isEmpty();
    boolean mute = mute(m, now) && m.life == Life.UP && m.placements.isEmpty() && few;
    if (neverCame || silentLong || takenAway || faultyEmpty || deaf || mute) {
      retire(
          m,
          neverCame
              ? "never_came"
              : takenAway
                  ? "taken"
                  : faultyEmpty ? "faulty" : deaf ? "deaf" : mute ? "mute" : "silent");
    }
  }

  /**
   * Whether a machine answers what it is asked but does not report. Only reports renew a lease, so
   * all that runs there ends with it, however well the machine does what it is told. One that hung
   * may answer first and report a moment later: it counts from its first answer. It is not given
   * back while anything may run there: after a takeover, with a controller that stands still, a
   * report may find nobody for as long, and comes in time.
   */
  private boolean mute(Machine m, Instant now) {
    return m.answersSince.isPresent() && now.isAfter(m.answersSince.get().plus(times.halfLease()));
  }

  /**
   * Deleting a silent machine proves it empty sooner than waiting for its lease. That is only worth
   * it, and only believable, while nearly all others are heard: else it is we who are cut off. When
   * a whole zone is silent and most machines are heard, those that hold replicas are worth it: a
   * new leader would otherwise wait for a lease from its own election on, while nothing serves.
   */
  private Silence silence(Instant now) {
    if (silence.isEmpty()) {
      silence =
          Optional.of(Silence.count(machines.values(), this::spoke, now.minus(times.silent())));
    }
    return silence.get();
  }

  /** When a machine was last heard; one that a new leader has not heard yet counts from its win. */
  private Instant spoke(Machine m) {
    return m.heard.isAfter(wonAt) ? m.heard : wonAt;
  }

  /** Takes back what was decided for a machine that turned bad before the start was sent. */
  private void unplan(Machine m) {
    for (Placement p : List.copyOf(m.placements.values())) {
      if (p.stage == Stage.PLANNED) {
        remove(p);
      }
    }
  }

  private boolean leaseOver(Machine m, Instant now) {
    return now.isAfter(m.renewed.plus(times.leaseOver()));
  }

  private void retire(Machine m, String why) {
    if (m.life != Life.RETIRING) {
      log.info("event=give_back term={} machine={} why={}", term, m.name, why);
      m.life = Life.RETIRING;
      enroll(m);
      roster.due(m);
      planCommit();
    }
  }

  private void deleteRetired() {
    List<String> names = new ArrayList<>();
    for (Machine m : machines.values()) {
      if (m.life == Life.RETIRING && m.recordedRetiring && !m.deleteSent && names.size() < 100) {
        m.deleteSent = true;
        names.add(m.name);
      }
    }
    if (!names.isEmpty()) {
      cloud.tell(new CloudActor.Delete(names));
    }
  }

  private void tellCounts() {
    List<JobCount> changed = new ArrayList<>();
    for (Job j : jobs.values()) {
      int done = j.done.cardinality();
      int running = j.running();
      int key = done * 100_003 + running;
      Integer before = knownCounts.put(j.spec.id(), key);
      if (before == null || before != key) {
        changed.add(new JobCount(j.spec.id(), done, running));
      }
    }
    if (knownCounts.size() > jobs.size() + 1000) {
      knownCounts.keySet().retainAll(jobs.keySet());
    }
    if (!changed.isEmpty()) {
      counts.accept(changed);
    }
  }

  // ---- Renting ----

  private void rent(Instant now) {
    deleteRetired();
    if (types.isEmpty()) {
      return;
    }
    // When the state service can't be written, a machine marked now would be of no use to anybody.
    boolean mayGiveBack = settledLogged && !now.isAfter(evidence.plusSeconds(2));
    Fleet.Plan plan =
        fleet.plan(
            new Fleet.View(
                machines.values(),
                m -> placeable(m, now),
                jobs.values(),
                order.waiting(queue, order.turns(now), now),
                uses(),
                types.values(),
                silence(now).zones(),
                mayGiveBack),
            now);
    plan.hires()
        .forEach(
            (kind, n) -> {
              log.info(
                  "event=rent term={} type={} zone={} spot={} count={}",
                  term,
                  kind.type(),
                  kind.zone(),
                  kind.spot(),
                  n);
              cloud.tell(new CloudActor.Hire(kind, n));
            });
    for (Placement p : plan.moves()) {
      log.info(
          "event=move term={} machine={} task={} attempt={}",
          term,
          p.machine.name,
          p.task,
          p.attempt);
      doom(p);
      kick(p.machine);
    }
    plan.giveBack().forEach(m -> retire(m, "spare"));
  }

  private void cloudSaid(CloudActor.Event event) {
    Instant now = now();
    if (event instanceof CloudActor.Catalogue e) {
      // Kept for restarts during an outage of the cloud; prices in it may be old.
      setTypes(e.types());
      catalogueDirty = !types.keySet().equals(storedTypes);
      planCommit();
    } else if (event instanceof CloudActor.Hired e) {
      fleet.renter().noteGranted(e.kind());
      MachineType type = types.get(e.kind().type());
      for (String name : e.names()) {
        if (!machines.containsKey(name) && !removed.contains(name) && type != null) {
          Machine m = new Machine(name, e.kind().zone(), e.kind().spot(), type, Life.BOOTING, now);
          m.token = (term << TERM_SHIFT) + 1;
          machines.put(name, m);
          // Long before its first start, which need not wait for it then.
          enroll(m);
          roster.due(m, now.plusSeconds(1));
        }
      }
      log.info("event=rented term={} kind={} count={}", term, e.kind(), e.names().size());
    } else if (event instanceof CloudActor.Refused e) {
      if (e.trouble()) {
        fleet.renter().noteGranted(e.kind());
      } else {
        fleet.renter().noteRefused(e.kind(), now);
        log.info("event=no_capacity term={} kind={}", term, e.kind());
      }
    } else if (event instanceof CloudActor.Deleted e) {
      e.names().forEach(this::deleted);
      planCommit();
    } else if (event instanceof CloudActor.NotDeleted e) {
      for (String name : e.names()) {
        Machine m = machines.get(name);
        if (m != null) {
          m.deleteSent = false;
        }
      }
    } else if (event instanceof CloudActor.Listed e) {
      listed(e.hosts(), now);
    }
  }

  private void deleted(String name) {
    Machine m = machines.remove(name);
    removed.note(name, now());
    if (m == null) {
      return;
    }
    for (Placement p : List.copyOf(m.placements.values())) {
      remove(p);
    }
    strike(m);
    schedule();
  }

  private void listed(List<Host> hosts, Instant now) {
    Set<String> names = new HashSet<>();
    for (Host h : hosts) {
      names.add(h.name());
      Machine m = machines.get(h.name());
      if (m == null) {
        if (removed.contains(h.name())) {
          continue;
        }
        MachineType type = types.getOrDefault(h.type(), unknownType(h.type()));
        m = new Machine(h.name(), h.zone(), h.spot(), type, Life.BOOTING, now);
        m.token = (term << TERM_SHIFT) + 1;
        m.address = h.address();
        machines.put(h.name(), m);
      }
      if (!m.listed) {
        m.listed = true;
        m.listedSince = now;
      }
      if (h.stage().equals("failed")) {
        retire(m, "failed");
      }
    }
    for (Machine m : machines.values()) {
      // Once listed, a machine stays listed until it is gone. A deletion makes sure.
      // A list may be older than the one before: machines that are new may be missing in it.
      if (m.listed
          && m.everReported
          && !names.contains(m.name)
          && now.isAfter(m.listedSince.plus(settings.cloudLimits().listLag().multipliedBy(3)))
          && now.isAfter(m.heard.plusSeconds(6))) {
        retire(m, "not_listed");
      }
    }
  }
}
