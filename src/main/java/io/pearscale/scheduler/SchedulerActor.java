package io.pearscale.scheduler;

import io.pearscale.protocol.MachineType;
import io.pearscale.protocol.PeerMessage.JobCount;
import io.pearscale.protocol.PeerMessage.LiveJobs;
import io.pearscale.protocol.Report;
import io.pearscale.protocol.ReportAnswer;
import io.pearscale.protocol.Settings;
import io.pearscale.protocol.Settings.Team;
import io.pearscale.storage.Keys;
import io.pearscale.storage.ReplicaActor.Entry;
import io.pearscale.storage.ReplicaActor.KeyChange;
import io.pearscale.storage.StateClient;
import io.pearscale.transport.Actor;
import io.pearscale.transport.Calls;
import io.pearscale.transport.Loop;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.random.RandomGenerator;

/**
 * Receives what concerns jobs and machines, and wires the parts of a leader, each of which owns its
 * own state: {@link JobTable}, {@link MachineInventory}, {@link LeaderRecords}, {@link
 * LeaderRecovery}, {@link ReportProcessor}, {@link CommandDispatcher}, {@link MachineHealth},
 * {@link PlacementPass}, {@link MachineSupply} and {@link RecordWriter}. On a controller that does
 * not lead it only keeps the jobs and the stored records at hand.
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
  public record Reported(Report report, String via, Consumer<ReportAnswer> answer)
      implements Message {}

  /** The leader is to show that it lives, by a write if there is none to be made anyway. */
  public record Beat() implements Message {}

  /** What a part of the leader has put off, void when the term is over. */
  private record Continuation(long term, Runnable action) implements Message {}

  private record CloudSaid(CloudActor.Event event) implements Message {}

  private final Leadership leadership;
  private final JobTable jobs;
  private final MachineInventory inventory;
  private final LeaderRecords records;
  private final LeaderStatistics statistics;
  private final CommandDispatcher dispatcher;
  private final ReportHandler reports;
  private final MachineHealth health;
  private final LeaderRecovery recovery;
  private final PlacementPass passes;
  private final MachineSupply supply;
  private final RecordWriter writer;
  private final TaskCounts counts;
  private long epoch;
  private boolean loaded;
  private Instant nextCounts = Instant.MIN;
  private int ticks;

  /**
   * Makes a scheduler that does not lead.
   *
   * @param higherTerm is told of a higher term than ours
   * @param unfit is told why this controller can't lead, of a record that it can't read
   * @param countsListener is told of task counts that changed
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
      Consumer<List<JobCount>> countsListener) {
    super(loop);
    InstantSource clock = loop.clock();
    Map<String, Team> teams = new HashMap<>();
    settings.teams().forEach(t -> teams.put(t.name(), t));
    TermExecutor executor = new Continuations();
    WorkerTimes times = WorkerTimes.of(settings.workers());
    leadership = new Leadership(clock, settings.hold());
    records = new LeaderRecords(settings.stateLimits(), clock, this::requestCommit);
    MachineCatalogue catalogue = new MachineCatalogue();
    JobClasses classes = new JobClasses(settings.objectives(), catalogue.types());
    JobOrder order = new JobOrder(settings.objectives(), classes);
    jobs = new JobTable(teams, leadership, clock, timeOfDay, classes::note, this::requestPass);
    inventory =
        new MachineInventory(catalogue, teams, leadership, jobs, records, clock, this::requestPass);
    LeaderState shared =
        new LeaderState(leadership, jobs, inventory, records, clock, this::requestPass);
    statistics = new LeaderStatistics(shared);
    ReportProcessor processor = new ReportProcessor(shared, new FailureJudge(shared), statistics);
    dispatcher =
        new CommandDispatcher(shared, settings, times, calls, executor, higherTerm, processor);
    reports = new ReportHandler(shared, processor, dispatcher, higherTerm);
    CloudActor cloud = new CloudActor(loop, calls, settings, e -> tell(new CloudSaid(e)));
    MachineRetirement retirement = new MachineRetirement(shared, cloud);
    health = new MachineHealth(shared, times, dispatcher, retirement);
    recovery = new LeaderRecovery(shared, dispatcher, unfit);
    passes =
        new PlacementPass(
            shared,
            times,
            new PlacementPass.Policy(tuning, random, teams, classes, order),
            executor,
            health,
            dispatcher,
            statistics);
    Fleet fleet = new Fleet(tuning, teams, classes);
    supply =
        new MachineSupply(
            shared, settings, cloud, fleet, order, health, retirement, dispatcher, recovery);
    writer =
        new RecordWriter(
            shared, settings, state, executor, random, higherTerm, dispatcher, retirement);
    counts = new TaskCounts(jobs, countsListener);
  }

  @Override
  protected void receive(Message message) {
    if (message instanceof Reported m) {
      m.answer.accept(reports.answer(m.report, m.via));
    } else if (message instanceof Continuation m) {
      if (leadership.leadsIn(m.term)) {
        m.action.run();
      }
    } else if (message instanceof Changed m) {
      changed(m);
    } else if (message instanceof Fresh m) {
      leadership.copyIsAsNewAs(m.asOf);
      jobs.copyIsAsNewAs(m.asOf);
    } else if (message instanceof Loaded m) {
      loaded(m);
    } else if (message instanceof Won m) {
      won(m);
    } else if (message instanceof Confirmed m) {
      leadership.provenAt(m.evidence);
    } else if (message instanceof Cancelled m) {
      cancelled(m.job);
    } else if (message instanceof Vouched m) {
      vouched(m);
    } else if (message instanceof Acknowledged m && leadership.leadsIn(m.term)) {
      recovery.formerLeadersEnded();
    } else if (message instanceof Lost) {
      lost();
    } else if (message instanceof CloudSaid m && leadership.leading()) {
      supply.cloudSaid(m.event);
    } else if (message instanceof Beat && leadership.ready()) {
      writer.heartbeat();
    }
  }

  private void requestPass() {
    passes.request();
  }

  private void requestCommit() {
    writer.plan();
  }

  // ---- What the state service holds ----

  private void loaded(Loaded m) {
    jobs.missingIn(m.all.keySet()).forEach(this::jobOver);
    jobs.forgetUnreadable();
    records.forgetStored();
    m.all.forEach((key, entry) -> changed(new KeyChange(key, Optional.of(entry))));
    epoch = m.epoch;
    loaded = true;
    takeOverWhenPossible();
  }

  private void changed(Changed m) {
    m.changes.forEach(this::changed);
    epoch = m.epoch;
    takeOverWhenPossible();
    if (leadership.ready()) {
      passes.request();
    }
  }

  private void changed(KeyChange change) {
    String key = change.key();
    if (Keys.isLive(key)) {
      if (change.entry().isPresent()) {
        jobs.add(key, change.entry().get());
      } else {
        jobs.forgetUnreadable(key);
        jobOver(Keys.name(key));
      }
    } else if (Keys.isMarks(key) || Keys.isRoster(key)) {
      records.storedChanged(change);
    } else if (key.equals(Keys.CATALOGUE) && change.entry().isPresent()) {
      List<MachineType> types = MachineType.parseAll(change.entry().get().value());
      records.storedCatalogueIs(types);
      if (!leadership.leading() || inventory.catalogue().types().isEmpty()) {
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
          .filter(j -> j.stamp <= list.epoch() && !live.contains(j.spec.id()))
          .forEach(j -> cancelled(j.spec.id()));
    }
    leadership.confirmedByPeers(m.evidence);
  }

  /** A job is over although our copy may not show it yet. */
  private void cancelled(String id) {
    jobs.noteCancelled(id);
    jobOver(id);
  }

  private void jobOver(String id) {
    Optional<Job> job = jobs.remove(id);
    if (job.isEmpty() || !leadership.leading()) {
      return;
    }
    records.close(job.get());
    for (Placement p : List.copyOf(job.get().placed.values())) {
      // What a cancelled task has done is of no use to anybody: it does not save, and one that
      // saves already, for whatever reason it was stopped, is told to end.
      p.stopsAtOnce = true;
      p.kills = 0;
      inventory.stop(p);
      inventory.noteCommandDue(p.machine);
      dispatcher.sendDue(p.machine);
    }
  }

  // ---- Taking over and giving up ----

  private void won(Won m) {
    leadership.begin(m.term, m.termStamp, m.evidence);
    passes.begin();
    writer.begin();
    dispatcher.begin();
    recovery.begin();
    supply.begin();
    scheduleTick();
    takeOverWhenPossible();
  }

  private void lost() {
    leadership.end();
    inventory.clear();
    jobs.clearWaiting();
    dispatcher.end();
    records.clear();
    counts.clear();
    supply.end();
    jobs.forgetPlacements();
  }

  /**
   * A new leader may not decide on a copy from before its term: the last writes of its predecessor
   * are older than the term, so a copy as new as the term has them all.
   */
  private void takeOverWhenPossible() {
    boolean possible = leadership.leading() && loaded && epoch >= leadership.termStamp();
    if (possible && !leadership.ready() && recovery.takeOver()) {
      passes.request();
    }
  }

  // ---- Time ----

  private void scheduleTick() {
    long term = leadership.term();
    loop.after(TICK, () -> tell(new Continuation(term, this::tick)));
  }

  private void tick() {
    scheduleTick();
    if (!leadership.ready()) {
      return;
    }
    Instant now = loop.clock().instant();
    checkMachines(now);
    recovery.noteProgress();
    passes.request();
    dispatcher.sendAllDue();
    supply.rentIfDue(now);
    if (now.isAfter(nextCounts)) {
      nextCounts = now.plus(COUNTS_SPACING);
      records.collectGarbage();
      counts.tellChanges();
    }
    statistics.logIfDue(now, machine -> health.usable(machine, now));
    writer.planIfDue();
  }

  /** Looks after each machine once a second at the latest. */
  private void checkMachines(Instant now) {
    health.beginRound();
    int slices = Math.min(MOST_SLICES, 1 + inventory.size() / SLICE);
    int i = ++ticks;
    for (Machine machine : List.copyOf(inventory.all())) {
      if (++i % slices == 0 || !machine.settled) {
        health.check(machine, now);
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
