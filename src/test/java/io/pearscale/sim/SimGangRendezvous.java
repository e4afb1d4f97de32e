package io.pearscale.sim;

import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.TaskId;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * How the tasks of a gang find each other across workers, by the workers' protocol: they wait for
 * all of their attempt, run together, notice the loss of one, save together and complete together.
 * It checks on the way that no job runs under two attempts at once.
 */
final class SimGangRendezvous {
  /** One task of an attempt, on its worker. */
  interface Member {
    /** It runs from now on. */
    void started();

    /** It exits with that cause, unless its machine hangs or is gone. */
    void exited(String cause, boolean saved);

    /** Whether its machine stands still. */
    boolean hangs();
  }

  private record Attempt(String job, long number) {}

  /** What is known of an attempt. */
  private static final class State {
    final Map<Integer, Member> members = new TreeMap<>();
    final Map<Integer, Instant> stopRequested = new HashMap<>();
    boolean running;
    boolean over;
    Instant since = Instant.MAX;
    Instant firstStop = Instant.MAX;
  }

  private final SimulatedCluster world;
  private final Map<Attempt, State> attempts = new HashMap<>();

  /** What each job had saved when it was last stopped or lost a task. */
  private final Map<String, Duration> progress = new HashMap<>();

  /** Attempts that began to run, that were broken off, and that never became complete. */
  int attemptsBegun;

  int attemptsBroken;
  int attemptsNeverComplete;

  SimGangRendezvous(SimulatedCluster cluster) {
    this.world = cluster;
  }

  /** A task has its image and waits for the others. */
  void join(TaskId task, long number, Member member) {
    Attempt attempt = new Attempt(task.job(), number);
    State state = attempts.computeIfAbsent(attempt, a -> new State());
    state.members.put(task.index(), member);
    JobSpec spec = world.submitted.get(task.job());
    if (state.running || state.over) {
      // The others have begun without it, or are gone: it can only wait in vain.
      world.after(world.gangPeerLoss, () -> exitIfThere(state, task.index(), member, "mates_gone"));
    } else if (state.members.size() == spec.tasks()) {
      begin(attempt, state, spec);
    } else {
      world.after(world.gangForming, () -> giveUp(state, task.index(), member));
    }
  }

  private void giveUp(State state, int index, Member member) {
    if (!state.running) {
      attemptsNeverComplete += state.members.get(index) == member ? 1 : 0;
      exitIfThere(state, index, member, "alone");
    }
  }

  private static void exitIfThere(State state, int index, Member member, String cause) {
    if (state.members.get(index) == member) {
      member.exited(cause, false);
    }
  }

  private void begin(Attempt attempt, State state, JobSpec spec) {
    attempts.forEach(
        (other, its) -> {
          if (its.running && !its.over && other.job.equals(attempt.job) && !other.equals(attempt)) {
            world.reportViolation("gang_twice", attempt.job + " under two attempts");
          }
        });
    attemptsBegun++;
    state.running = true;
    state.since = world.now;
    world.firstStarts.putIfAbsent(attempt.job, world.now);
    state.members.values().forEach(Member::started);
    if (world.users.get(attempt.job).failsEverywhere()) {
      Member first = state.members.values().iterator().next();
      world.after(Duration.ofMillis(300), () -> first.exited("error", false));
      return;
    }
    Duration whole = world.users.get(attempt.job).run(new TaskId(attempt.job, 0));
    Duration left = whole.minus(progress.getOrDefault(attempt.job, Duration.ZERO));
    world.after(left, () -> complete(attempt, state, spec));
  }

  private void complete(Attempt attempt, State state, JobSpec spec) {
    boolean allGoOn =
        state.members.size() == spec.tasks()
            && state.firstStop.equals(Instant.MAX)
            && state.members.values().stream().noneMatch(Member::hangs);
    if (state.over || !allGoOn) {
      return;
    }
    state.over = true;
    for (int i = 0; i < spec.tasks(); i++) {
      SimAgent.completed(world).add(new TaskId(attempt.job, i));
    }
    List.copyOf(state.members.values()).forEach(member -> member.exited("done", false));
  }

  /** A task is gone from its machine, for whatever reason. */
  void leave(TaskId task, long number) {
    Attempt attempt = new Attempt(task.job(), number);
    State state = attempts.get(attempt);
    if (state == null || state.members.remove(task.index()) == null) {
      return;
    }
    if (state.running && !state.over) {
      breakOff(attempt, state);
    }
  }

  /** A machine stands still: the others notice if it does for long. */
  void hung(TaskId task, long number, Member member) {
    Attempt attempt = new Attempt(task.job(), number);
    State state = attempts.get(attempt);
    if (state != null && state.running) {
      world.after(
          world.gangPeerLoss,
          () -> {
            if (member.hangs() && !state.over && state.members.containsValue(member)) {
              breakOff(attempt, state);
            }
          });
    }
  }

  /** A task of a running gang is gone: what was done since the last checkpoint is lost. */
  private void breakOff(Attempt attempt, State state) {
    state.over = true;
    attemptsBroken++;
    JobSpec spec = world.submitted.get(attempt.job);
    Duration done = doneBy(attempt, state, world.now);
    Duration step = spec.checkpointInterval();
    if (!step.isZero()) {
      progress.put(attempt.job, step.multipliedBy(done.toMillis() / step.toMillis()));
    }
    world.after(
        Duration.ofMillis((long) (world.random.nextDouble() * world.gangPeerLoss.toMillis())),
        () -> List.copyOf(state.members.values()).forEach(m -> m.exited("mates_gone", false)));
  }

  private Duration doneBy(Attempt attempt, State state, Instant when) {
    Instant end = when.isBefore(state.firstStop) ? when : state.firstStop;
    return progress
        .getOrDefault(attempt.job, Duration.ZERO)
        .plus(Duration.between(state.since, end));
  }

  /** A task that runs is told to save; all have to be told in time. */
  void stopRequested(TaskId task, long number) {
    Attempt attempt = new Attempt(task.job(), number);
    State state = attempts.get(attempt);
    if (state.over || state.stopRequested.putIfAbsent(task.index(), world.now) != null) {
      return;
    }
    JobSpec spec = world.submitted.get(attempt.job);
    if (state.firstStop.equals(Instant.MAX)) {
      state.firstStop = world.now;
      world.after(world.gangPeerLoss.plusMillis(1), () -> timeIsOver(attempt, state, spec));
    }
    if (state.stopRequested.size() == spec.tasks()) {
      world.after(spec.checkpointDuration(), () -> saved(attempt, state));
    }
  }

  private void saved(Attempt attempt, State state) {
    if (!state.over) {
      state.over = true;
      progress.put(attempt.job, doneBy(attempt, state, state.firstStop));
      List.copyOf(state.members.values()).forEach(member -> member.exited("stopped", true));
    }
  }

  private void timeIsOver(Attempt attempt, State state, JobSpec spec) {
    if (!state.over && state.stopRequested.size() < spec.tasks()) {
      breakOff(attempt, state);
    }
  }
}
