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

/** Assigns waiting tasks to machines, in throttled passes over the queue. */
public final class SchedulingPass {
  private static final Logger LOG = LoggerFactory.getLogger(SchedulingPass.class);
  private static final AdaptiveThrottle THROTTLE =
      new AdaptiveThrottle(4, Duration.ofMillis(30), Duration.ofSeconds(2));

  /** The settings, random numbers and job order by which a pass decides. */
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
  private final FailureDetector failureDetector;
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
      FailureDetector failureDetector,
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
    this.failureDetector = failureDetector;
    this.dispatcher = dispatcher;
    this.gangs = state.gangs();
    this.termination = termination;
    this.statistics = statistics;
  }

  /** Resets the pass for a new term. */
  public void beginTerm() {
    attemptNumbers.beginTerm(leadership.term());
    requested = false;
  }

  /** Requests a pass if jobs are queued and no pass is scheduled yet. */
  public void request() {
    if (!requested && leadership.isLeading() && !jobs.queued().isEmpty()) {
      requested = true;
      executor.executeAfter(THROTTLE.pauseAfter(lastPassDuration), this::runRequested);
    }
  }

  private void runRequested() {
    requested = false;
    if (leadership.isReady()) {
      runPass();
    }
  }

  private void runPass() {
    Instant now = clock.instant();
    termination.endBrokenGangs();
    Function<Job, QueueOrder.Rank> ranks = policy.queueOrder.ranks(now);
    List<Job> waiting = policy.queueOrder.sorted(jobs.queued(), ranks, now);
    if (!waiting.isEmpty()) {
      List<Machine> schedulable = schedulableMachines(now);
      Placer placer = newPlacer(waiting, schedulable, ranks, now);
      GangPlacer gangPlacer = new GangPlacer(placer, schedulable);
      Set<Machine> machinesToNotify = new LinkedHashSet<>();
      for (Job job : waiting) {
        if (job.spec().isGang()) {
          placeGang(gangPlacer, job, machinesToNotify, now);
        } else {
          place(placer, job, machinesToNotify, now);
        }
      }
      machinesToNotify.forEach(dispatcher::sendDueCommands);
    }
    dispatcher.sendAllDueCommands();
    lastPassDuration = Duration.between(now, clock.instant());
    statistics.recordPassDuration(lastPassDuration);
  }

  private Placer newPlacer(
      List<Job> waiting,
      List<Machine> schedulable,
      Function<Job, QueueOrder.Rank> ranks,
      Instant now) {
    PassContext context =
        new PassContext(
            policy.tuning,
            policy.random,
            schedulable,
            policy.classes::startObjective,
            Comparator.comparing(ranks),
            now.minus(timings.reachableWithin()),
            now);
    return new Placer(context, waiting, inventory.quotaUsage());
  }

  private List<Machine> schedulableMachines(Instant now) {
    List<Machine> schedulable = new ArrayList<>();
    for (Machine machine : inventory.all()) {
      if (failureDetector.isSchedulable(machine, now)) {
        schedulable.add(machine);
      }
    }
    return schedulable;
  }

  private void place(Placer placer, Job job, Set<Machine> machinesToNotify, Instant now) {
    boolean mayPreempt = QueueOrder.mayPreempt(job, now);
    // A job that fails everywhere gets one task at a time, to save capacity and writes.
    boolean oneTaskOnly =
        QueueOrder.isFirstStartOverdue(job, now) || job.failures().failsEverywhere();
    for (int i = job.nextPendingTask(0); i >= 0; i = job.nextPendingTask(i + 1)) {
      Optional<Assignment> assignment = placer.place(job, mayPreempt);
      job.recordSchedulingResult(assignment.isPresent());
      if (assignment.isEmpty()) {
        return;
      }
      planAttempt(job, i, assignment.get(), attemptNumbers.next(), machinesToNotify, now);
      if (oneTaskOnly) {
        return;
      }
    }
  }

  /** Places all pending tasks of a gang, or none of them. */
  private void placeGang(
      GangPlacer gangPlacer, Job job, Set<Machine> machinesToNotify, Instant now) {
    Action action = gangs.nextAction(job);
    if (action != Action.START && action != Action.COMPLETE) {
      return;
    }
    int tasks = job.pendingTasks();
    List<Assignment> assignments = gangPlacer.place(job, tasks, QueueOrder.mayPreempt(job, now));
    job.recordSchedulingResult(!assignments.isEmpty());
    if (assignments.isEmpty()) {
      if (QueueOrder.isFirstStartOverdue(job, now)) {
        gangPlacer.reserveForLongWaiting(job, tasks);
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
      planAttempt(job, task, assignment, attemptNumber, machinesToNotify, now);
      task = job.nextPendingTask(task + 1);
    }
  }

  private void planAttempt(
      Job job,
      int taskIndex,
      Assignment assignment,
      long attemptNumber,
      Set<Machine> machinesToNotify,
      Instant now) {
    Machine machine = assignment.machine();
    for (TaskAttempt victim : assignment.victims()) {
      preempt(victim, job, taskIndex);
      machinesToNotify.add(machine);
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
