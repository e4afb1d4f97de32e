package io.pearscale.scheduler;

import io.pearscale.gang.GangAttempt.Action;
import io.pearscale.protocol.TaskId;
import io.pearscale.scheduler.TaskAttempt.Stage;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Decides on which machines the tasks that wait are started. */
final class PlacementPass {
  private static final Logger LOG = LoggerFactory.getLogger(PlacementPass.class);
  private static final AdaptiveThrottle PACING =
      new AdaptiveThrottle(4, Duration.ofMillis(30), Duration.ofSeconds(2));

  /** By what a pass decides. */
  record Policy(Tuning tuning, RandomGenerator random, JobClasses classes, QueueOrder order) {}

  private final Leadership leadership;
  private final JobTable jobs;
  private final MachineInventory inventory;
  private final LeaderRecords records;
  private final InstantSource clock;
  private final AgentTimings times;
  private final Policy policy;
  private final TermExecutor executor;
  private final FailureDetector health;
  private final CommandDispatcher dispatcher;
  private final GangTracker gangs;
  private final GracefulTermination stops;
  private final LeaderStatistics statistics;
  private final AttemptNumbers attempts = new AttemptNumbers();
  private boolean requested;
  private Duration lastPass = Duration.ZERO;

  PlacementPass(
      LeaderState state,
      AgentTimings times,
      Policy policy,
      TermExecutor executor,
      FailureDetector health,
      CommandDispatcher dispatcher,
      GracefulTermination stops,
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
    this.gangs = state.gangs();
    this.stops = stops;
    this.statistics = statistics;
  }

  /** A term has begun. */
  void begin() {
    attempts.beginTerm(leadership.term());
    requested = false;
  }

  /** Asks for a pass, if a job waits. */
  void request() {
    if (!requested && leadership.isLeading() && !jobs.queued().isEmpty()) {
      requested = true;
      executor.after(PACING.restAfter(lastPass), this::run);
    }
  }

  private void run() {
    requested = false;
    if (leadership.isReady()) {
      pass();
    }
  }

  private void pass() {
    Instant now = clock.instant();
    stops.endBrokenGangs();
    Function<Job, QueueOrder.Turn> turns = policy.order.turns(now);
    List<Job> waiting = policy.order.waiting(jobs.queued(), turns, now);
    if (!waiting.isEmpty()) {
      List<Machine> usable = usable(now);
      Placer placer = placer(waiting, usable, turns, now);
      GangPlacement ofGangs = new GangPlacement(placer, usable);
      Set<Machine> touched = new LinkedHashSet<>();
      for (Job job : waiting) {
        if (job.spec.isGang()) {
          placeGang(ofGangs, job, touched, now);
        } else {
          place(placer, job, touched, now);
        }
      }
      touched.forEach(dispatcher::sendDueCommands);
    }
    dispatcher.sendAllDueCommands();
    lastPass = Duration.between(now, clock.instant());
    statistics.recordPass(lastPass);
  }

  private Placer placer(
      List<Job> waiting, List<Machine> usable, Function<Job, QueueOrder.Turn> turns, Instant now) {
    PlacementInput input =
        new PlacementInput(
            policy.tuning,
            policy.random,
            usable,
            policy.classes::startObjective,
            Comparator.comparing(turns),
            now.minus(times.reachableWithin()),
            now);
    return new Placer(input, waiting, inventory.quotaUsage());
  }

  private List<Machine> usable(Instant now) {
    List<Machine> usable = new ArrayList<>();
    for (Machine machine : inventory.all()) {
      if (health.isSchedulable(machine, now)) {
        usable.add(machine);
      }
    }
    return usable;
  }

  private void place(Placer placer, Job job, Set<Machine> touched, Instant now) {
    boolean pressing = QueueOrder.pressing(job, now);
    // Of a job that fails everywhere one task is tried at a time: it takes no room and no writes.
    boolean one = QueueOrder.begins(job, now) || job.failsEverywhere();
    for (int i = job.nextPendingTask(0); i >= 0; i = job.nextPendingTask(i + 1)) {
      Optional<Placer.Choice> choice = placer.place(job, pressing);
      job.unschedulable = choice.isEmpty();
      if (choice.isEmpty()) {
        return;
      }
      start(job, i, choice.get(), attempts.next(), touched, now);
      if (one) {
        return;
      }
    }
  }

  /** All tasks of a gang that are to be started find a place, or none is started. */
  private void placeGang(GangPlacement placement, Job job, Set<Machine> touched, Instant now) {
    Action action = gangs.nextAction(job);
    if (action != Action.START && action != Action.COMPLETE) {
      return;
    }
    int tasks = job.pendingTasks();
    List<Placer.Choice> choices = placement.place(job, tasks, QueueOrder.pressing(job, now));
    job.unschedulable = choices.isEmpty();
    if (choices.isEmpty()) {
      if (QueueOrder.begins(job, now)) {
        placement.hold(job, tasks);
      } else if (policy.classes.startObjective(job.spec).isPresent()) {
        placement.holdIfSmall(job, tasks);
      }
      return;
    }
    if (action == Action.START) {
      gangs.beginAttempt(job, attempts.next());
    }
    long attempt = gangs.attemptNumber(job);
    int task = job.nextPendingTask(0);
    for (Placer.Choice choice : choices) {
      start(job, task, choice, attempt, touched, now);
      task = job.nextPendingTask(task + 1);
    }
  }

  private void start(
      Job job, int task, Placer.Choice choice, long attempt, Set<Machine> touched, Instant now) {
    Machine machine = choice.machine();
    for (TaskAttempt victim : choice.victims()) {
      evict(victim, job, task);
      touched.add(machine);
    }
    TaskAttempt placement =
        new TaskAttempt(job, new TaskId(job.spec.id(), task), attempt, machine, Stage.PLANNED, now);
    inventory.add(placement);
    LOG.debug(
        "event=placed term={} machine={} task={} attempt={} class={} image={} cached={}",
        leadership.term(),
        machine.name,
        placement.task,
        placement.number,
        job.spec.jobClass(),
        job.spec.image(),
        machine.cachedImages.containsKey(job.spec.image()));
    records.recordPlacement(placement);
  }

  private void evict(TaskAttempt victim, Job job, int index) {
    LOG.info(
        "event=evict term={} machine={} task={} attempt={} for={}/{}",
        leadership.term(),
        victim.machine.name,
        victim.task,
        victim.number,
        job.spec.id(),
        index);
    stops.stop(
        victim,
        policy.classes.isLateIfCheckpointed(job.spec, victim.job.spec, victim.machine.type));
  }
}
