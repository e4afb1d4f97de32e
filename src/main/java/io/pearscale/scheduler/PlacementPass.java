package io.pearscale.scheduler;

import io.pearscale.protocol.Settings.Team;
import io.pearscale.protocol.TaskId;
import io.pearscale.scheduler.Placement.Stage;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Decides on which machines the tasks that wait are started. */
final class PlacementPass {
  private static final Logger LOG = LoggerFactory.getLogger(PlacementPass.class);
  private static final Pacing PACING = new Pacing(4, Duration.ofMillis(30), Duration.ofSeconds(2));

  /**
   * By what a pass decides.
   *
   * @param teams guarantees and limits, by team
   */
  record Policy(
      Tuning tuning,
      RandomGenerator random,
      Map<String, Team> teams,
      JobClasses classes,
      JobOrder order) {}

  private final Leadership leadership;
  private final JobTable jobs;
  private final MachineInventory inventory;
  private final LeaderRecords records;
  private final InstantSource clock;
  private final WorkerTimes times;
  private final Policy policy;
  private final TermExecutor executor;
  private final MachineHealth health;
  private final CommandDispatcher dispatcher;
  private final LeaderStatistics statistics;
  private final AttemptNumbers attempts = new AttemptNumbers();
  private boolean requested;
  private Duration lastPass = Duration.ZERO;

  PlacementPass(
      LeaderState state,
      WorkerTimes times,
      Policy policy,
      TermExecutor executor,
      MachineHealth health,
      CommandDispatcher dispatcher,
      LeaderStatistics statistics) {
    this.leadership = state.leadership();
    this.jobs = state.jobs();
    this.inventory = state.inventory();
    this.records = state.records();
    this.clock = state.clock();
    this.times = times;
    this.policy = policy;
    this.executor = executor;
    this.health = health;
    this.dispatcher = dispatcher;
    this.statistics = statistics;
  }

  /** A term has begun. */
  void begin() {
    attempts.begin(leadership.term());
    requested = false;
  }

  /** Asks for a pass, if a job waits. */
  void request() {
    if (!requested && leadership.leading() && !jobs.waiting().isEmpty()) {
      requested = true;
      executor.after(PACING.restAfter(lastPass), this::run);
    }
  }

  private void run() {
    requested = false;
    if (leadership.ready()) {
      pass();
    }
  }

  private void pass() {
    Instant now = clock.instant();
    Function<Job, JobOrder.Turn> turns = policy.order.turns(now);
    List<Job> waiting = policy.order.waiting(jobs.waiting(), turns, now);
    if (!waiting.isEmpty()) {
      Placer placer = placer(waiting, turns, now);
      Set<Machine> touched = new LinkedHashSet<>();
      for (Job job : waiting) {
        place(placer, job, touched, now);
      }
      touched.forEach(dispatcher::sendDue);
    }
    dispatcher.sendAllDue();
    lastPass = Duration.between(now, clock.instant());
    statistics.passTook(lastPass);
  }

  private Placer placer(List<Job> waiting, Function<Job, JobOrder.Turn> turns, Instant now) {
    List<Machine> usable = new ArrayList<>();
    for (Machine machine : inventory.all()) {
      if (health.usable(machine, now)) {
        usable.add(machine);
      }
    }
    return new Placer(
        policy.tuning,
        policy.random,
        policy.teams,
        usable,
        waiting,
        inventory.uses(),
        policy.classes::startWithin,
        Comparator.comparing(turns),
        now.minus(times.recent()),
        now);
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
        evict(victim, j, i);
        touched.add(m);
      }
      Placement p =
          new Placement(j, new TaskId(j.spec.id(), i), attempts.next(), m, Stage.PLANNED, now);
      inventory.add(p);
      LOG.debug(
          "event=placed term={} machine={} task={} attempt={} class={} image={} cached={}",
          leadership.term(),
          m.name,
          p.task,
          p.attempt,
          j.spec.jobClass(),
          j.spec.image(),
          m.images.containsKey(j.spec.image()));
      records.recordTask(p);
      if (one) {
        return;
      }
    }
  }

  private void evict(Placement victim, Job job, int index) {
    LOG.info(
        "event=evict term={} machine={} task={} attempt={} for={}/{}",
        leadership.term(),
        victim.machine.name,
        victim.task,
        victim.attempt,
        job.spec.id(),
        index);
    victim.stopsAtOnce =
        policy.classes.tooLateIfSaved(job.spec, victim.job.spec, victim.machine.type);
    inventory.stop(victim);
  }
}
