package io.pearscale.scheduler.placement;

import io.pearscale.gang.GangAttempt.Action;
import io.pearscale.protocol.TaskId;
import io.pearscale.scheduler.agents.CommandDispatcher;
import io.pearscale.scheduler.agents.FailureDetector;
import io.pearscale.scheduler.agents.GracefulTermination;
import io.pearscale.scheduler.model.AgentTimings;
import io.pearscale.scheduler.model.AttemptNumbers;
import io.pearscale.scheduler.model.DecisionRecorder;
import io.pearscale.scheduler.model.GangTracker;
import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.JobClasses;
import io.pearscale.scheduler.model.JobTable;
import io.pearscale.scheduler.model.LeaderState;
import io.pearscale.scheduler.model.LeaderStatistics;
import io.pearscale.scheduler.model.Leadership;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.MachineInventory;
import io.pearscale.scheduler.model.TaskAttempt;
import io.pearscale.scheduler.model.TaskAttempt.Stage;
import io.pearscale.scheduler.model.TermExecutor;
import io.pearscale.scheduler.model.Tuning;
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
public final class SchedulingPass {
  private static final Logger LOG = LoggerFactory.getLogger(SchedulingPass.class);
  private static final AdaptiveThrottle THROTTLE =
      new AdaptiveThrottle(4, Duration.ofMillis(30), Duration.ofSeconds(2));

  /** By what a pass decides. */
  public record Policy(
      Tuning tuning, RandomGenerator random, JobClasses classes, QueueOrder queueOrder) {}

  private final Leadership leadership;
  private final JobTable jobs;
  private final MachineInventory inventory;
  private final DecisionRecorder records;
  private final InstantSource clock;
  private final AgentTimings timings;
  private final Policy policy;
  private final TermExecutor executor;
  private final FailureDetector health;
  private final CommandDispatcher dispatcher;
  private final GangTracker gangs;
  private final GracefulTermination termination;
  private final LeaderStatistics statistics;
  private final AttemptNumbers attemptNumbers = new AttemptNumbers();
  private boolean requested;
  private Duration lastPassDuration = Duration.ZERO;

  /** Creates the pass over the jobs and machines of the given leader. */
  public SchedulingPass(
      LeaderState state,
      AgentTimings timings,
      Policy policy,
      TermExecutor executor,
      FailureDetector health,
      CommandDispatcher dispatcher,
      GracefulTermination termination,
      LeaderStatistics statistics) {
    this.leadership = state.leadership();
    this.jobs = state.jobs();
    this.inventory = state.inventory();
    this.records = state.records();
    this.clock = state.clock();
    this.timings = timings;
    this.policy = policy;
    this.executor = executor;
    this.health = health;
    this.dispatcher = dispatcher;
    this.gangs = state.gangs();
    this.termination = termination;
    this.statistics = statistics;
  }

  /** A term has begun. */
  public void beginTerm() {
    attemptNumbers.beginTerm(leadership.term());
    requested = false;
  }

  /** Asks for a pass, if a job waits. */
  public void request() {
    if (!requested && leadership.isLeading() && !jobs.queued().isEmpty()) {
      requested = true;
      executor.executeAfter(THROTTLE.restAfter(lastPassDuration), this::run);
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
    termination.endBrokenGangs();
    Function<Job, QueueOrder.Rank> ranks = policy.queueOrder.ranks(now);
    List<Job> waiting = policy.queueOrder.sorted(jobs.queued(), ranks, now);
    if (!waiting.isEmpty()) {
      List<Machine> usable = usable(now);
      Placer placer = placer(waiting, usable, ranks, now);
      GangPlacer gangPlacer = new GangPlacer(placer, usable);
      Set<Machine> touched = new LinkedHashSet<>();
      for (Job job : waiting) {
        if (job.spec().isGang()) {
          placeGang(gangPlacer, job, touched, now);
        } else {
          place(placer, job, touched, now);
        }
      }
      touched.forEach(dispatcher::sendDueCommands);
    }
    dispatcher.sendAllDueCommands();
    lastPassDuration = Duration.between(now, clock.instant());
    statistics.recordPassDuration(lastPassDuration);
  }

  private Placer placer(
      List<Job> waiting, List<Machine> usable, Function<Job, QueueOrder.Rank> ranks, Instant now) {
    PassContext context =
        new PassContext(
            policy.tuning,
            policy.random,
            usable,
            policy.classes::startObjective,
            Comparator.comparing(ranks),
            now.minus(timings.reachableWithin()),
            now);
    return new Placer(context, waiting, inventory.quotaUsage());
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
    boolean mayPreempt = QueueOrder.mayPreempt(job, now);
    // Of a job that fails everywhere one task is tried at a time: it takes no capacity and no
    // writes.
    boolean oneTaskOnly =
        QueueOrder.isFirstStartOverdue(job, now) || job.failures().failsEverywhere();
    for (int i = job.nextPendingTask(0); i >= 0; i = job.nextPendingTask(i + 1)) {
      Optional<Assignment> assignment = placer.place(job, mayPreempt);
      job.recordSchedulingResult(assignment.isPresent());
      if (assignment.isEmpty()) {
        return;
      }
      start(job, i, assignment.get(), attemptNumbers.next(), touched, now);
      if (oneTaskOnly) {
        return;
      }
    }
  }

  /** All tasks of a gang that are to be started find a place, or none is started. */
  private void placeGang(GangPlacer gangPlacer, Job job, Set<Machine> touched, Instant now) {
    Action action = gangs.nextAction(job);
    if (action != Action.START && action != Action.COMPLETE) {
      return;
    }
    int tasks = job.pendingTasks();
    List<Assignment> assignments = gangPlacer.place(job, tasks, QueueOrder.mayPreempt(job, now));
    job.recordSchedulingResult(!assignments.isEmpty());
    if (assignments.isEmpty()) {
      if (QueueOrder.isFirstStartOverdue(job, now)) {
        gangPlacer.reserveFor(job, tasks);
      } else if (policy.classes.startObjective(job.spec()).isPresent()) {
        gangPlacer.reserveIfSmall(job, tasks);
      }
      return;
    }
    if (action == Action.START) {
      gangs.beginAttempt(job, attemptNumbers.next());
    }
    long attemptNumber = gangs.attemptNumber(job);
    int task = job.nextPendingTask(0);
    for (Assignment assignment : assignments) {
      start(job, task, assignment, attemptNumber, touched, now);
      task = job.nextPendingTask(task + 1);
    }
  }

  private void start(
      Job job,
      int taskIndex,
      Assignment assignment,
      long attemptNumber,
      Set<Machine> touched,
      Instant now) {
    Machine machine = assignment.machine();
    for (TaskAttempt victim : assignment.victims()) {
      preempt(victim, job, taskIndex);
      touched.add(machine);
    }
    TaskAttempt planned =
        new TaskAttempt(
            job,
            new TaskId(job.spec().id(), taskIndex),
            attemptNumber,
            machine,
            Stage.PLANNED,
            now);
    inventory.add(planned);
    LOG.debug(
        "event=task_placed term={} machine={} task={} attempt={} class={} image={} cached={}",
        leadership.term(),
        machine.name(),
        planned.task(),
        planned.number(),
        job.spec().jobClass(),
        job.spec().image(),
        machine.images().contains(job.spec().image()));
    records.recordPlacement(planned);
  }

  private void preempt(TaskAttempt victim, Job preemptor, int taskIndex) {
    LOG.info(
        "event=preempt term={} machine={} task={} attempt={} for={}/{}",
        leadership.term(),
        victim.machine().name(),
        victim.task(),
        victim.number(),
        preemptor.spec().id(),
        taskIndex);
    termination.stop(
        victim,
        policy.classes.isLateIfCheckpointed(
            preemptor.spec(), victim.job().spec(), victim.machine().type()));
  }
}
