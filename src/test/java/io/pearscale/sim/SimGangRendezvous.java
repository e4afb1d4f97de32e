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
 * Simulates how the tasks of a gang coordinate across agents: the members of an attempt wait until
 * all are present, start together, detect the loss of a member, save together and complete
 * together. It also checks that no job runs under two attempts at once.
 */
final class SimGangRendezvous {
  /** A task of an attempt on its agent. */
  interface Member {
    /** Starts the task once all members are present. */
    void start();

    /** Ends the task with a cause: later if its machine is unresponsive, not if it is off. */
    void exit(String cause, boolean saved);

    /** Returns whether the task's machine is unresponsive. */
    boolean isUnresponsive();
  }

  private record Attempt(String job, long number) {}

  /** The members and the progress of an attempt. */
  private static final class AttemptState {
    final Map<Integer, Member> members = new TreeMap<>();
    final Map<Integer, Instant> stopRequestedAt = new HashMap<>();
    boolean running;
    boolean ended;
    Instant runningSince = Instant.MAX;
    Instant firstStopAt = Instant.MAX;
  }

  private final SimulatedCluster cluster;
  private final Map<Attempt, AttemptState> attempts = new HashMap<>();

  /** The progress that each job had saved when it was last stopped or lost a task. */
  private final Map<String, Duration> savedProgress = new HashMap<>();

  /** How many attempts started to run. */
  int attemptsStarted;

  /** How many running attempts were aborted by the loss of a member. */
  int attemptsAborted;

  /** How many members gave up because their attempt was not complete in time. */
  int formingTimeouts;

  SimGangRendezvous(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  /** Adds a member that has fetched its image and waits for the others. */
  void join(TaskId task, long number, Member member) {
    Attempt attempt = new Attempt(task.job(), number);
    AttemptState state = attempts.computeIfAbsent(attempt, a -> new AttemptState());
    state.members.put(task.index(), member);
    JobSpec spec = cluster.submitted.get(task.job());
    if (state.running || state.ended) {
      // The attempt runs without this member or has ended, so the member can never start.
      cluster.after(
          cluster.gangPeerLoss, () -> exitIfPresent(state, task.index(), member, "mates_gone"));
    } else if (state.members.size() == spec.tasks()) {
      startAttempt(attempt, state, spec);
    } else {
      cluster.after(cluster.gangForming, () -> exitIfStillForming(state, task.index(), member));
    }
  }

  private void exitIfStillForming(AttemptState state, int index, Member member) {
    if (!state.running) {
      formingTimeouts += state.members.get(index) == member ? 1 : 0;
      exitIfPresent(state, index, member, "alone");
    }
  }

  private static void exitIfPresent(AttemptState state, int index, Member member, String cause) {
    if (state.members.get(index) == member) {
      member.exit(cause, false);
    }
  }

  private void startAttempt(Attempt attempt, AttemptState state, JobSpec spec) {
    attempts.forEach(
        (other, otherState) -> {
          if (otherState.running
              && !otherState.ended
              && other.job.equals(attempt.job)
              && !other.equals(attempt)) {
            cluster.reportViolation("gang_twice", attempt.job + " under two attempts");
          }
        });
    attemptsStarted++;
    state.running = true;
    state.runningSince = cluster.now;
    cluster.firstStarts.putIfAbsent(attempt.job, cluster.now);
    state.members.values().forEach(Member::start);
    if (cluster.users.get(attempt.job).failsEverywhere()) {
      Member first = state.members.values().iterator().next();
      cluster.after(Duration.ofMillis(300), () -> first.exit("error", false));
      return;
    }
    Duration runTime = cluster.users.get(attempt.job).runTime(new TaskId(attempt.job, 0));
    Duration timeLeft = runTime.minus(savedProgress.getOrDefault(attempt.job, Duration.ZERO));
    cluster.after(timeLeft, () -> complete(attempt, state, spec));
  }

  private void complete(Attempt attempt, AttemptState state, JobSpec spec) {
    boolean allRunning =
        state.members.size() == spec.tasks()
            && state.firstStopAt.equals(Instant.MAX)
            && state.members.values().stream().noneMatch(Member::isUnresponsive);
    if (state.ended || !allRunning) {
      return;
    }
    state.ended = true;
    for (int i = 0; i < spec.tasks(); i++) {
      SimAgent.completed(cluster).add(new TaskId(attempt.job, i));
    }
    List.copyOf(state.members.values()).forEach(member -> member.exit("done", false));
  }

  /** Removes a member whose task is no longer on its machine. */
  void leave(TaskId task, long number) {
    Attempt attempt = new Attempt(task.job(), number);
    AttemptState state = attempts.get(attempt);
    if (state == null || state.members.remove(task.index()) == null) {
      return;
    }
    if (state.running && !state.ended) {
      abort(attempt, state);
    }
  }

  /** Aborts the attempt if the member's machine stays unresponsive for the peer loss timeout. */
  void memberUnresponsive(TaskId task, long number, Member member) {
    Attempt attempt = new Attempt(task.job(), number);
    AttemptState state = attempts.get(attempt);
    if (state != null && state.running) {
      cluster.after(
          cluster.gangPeerLoss,
          () -> {
            if (member.isUnresponsive() && !state.ended && state.members.containsValue(member)) {
              abort(attempt, state);
            }
          });
    }
  }

  /** Ends an attempt that lost a member; progress since the last checkpoint is lost. */
  private void abort(Attempt attempt, AttemptState state) {
    state.ended = true;
    attemptsAborted++;
    JobSpec spec = cluster.submitted.get(attempt.job);
    Duration progress = progressAt(attempt, state, cluster.now);
    Duration checkpointInterval = spec.checkpointInterval();
    if (!checkpointInterval.isZero()) {
      savedProgress.put(
          attempt.job,
          checkpointInterval.multipliedBy(progress.toMillis() / checkpointInterval.toMillis()));
    }
    cluster.after(
        Duration.ofMillis((long) (cluster.random.nextDouble() * cluster.gangPeerLoss.toMillis())),
        () ->
            List.copyOf(state.members.values())
                .forEach(member -> member.exit("mates_gone", false)));
  }

  private Duration progressAt(Attempt attempt, AttemptState state, Instant when) {
    Instant end = when.isBefore(state.firstStopAt) ? when : state.firstStopAt;
    return savedProgress
        .getOrDefault(attempt.job, Duration.ZERO)
        .plus(Duration.between(state.runningSince, end));
  }

  /** Asks a running task to save; the members save only if all are asked in time. */
  void stopRequested(TaskId task, long number) {
    Attempt attempt = new Attempt(task.job(), number);
    AttemptState state = attempts.get(attempt);
    if (state.ended || state.stopRequestedAt.putIfAbsent(task.index(), cluster.now) != null) {
      return;
    }
    JobSpec spec = cluster.submitted.get(attempt.job);
    if (state.firstStopAt.equals(Instant.MAX)) {
      state.firstStopAt = cluster.now;
      cluster.after(
          cluster.gangPeerLoss.plusMillis(1), () -> abortUnlessAllStopped(attempt, state, spec));
    }
    if (state.stopRequestedAt.size() == spec.tasks()) {
      cluster.after(spec.checkpointDuration(), () -> endSaved(attempt, state));
    }
  }

  private void endSaved(Attempt attempt, AttemptState state) {
    if (!state.ended) {
      state.ended = true;
      savedProgress.put(attempt.job, progressAt(attempt, state, state.firstStopAt));
      List.copyOf(state.members.values()).forEach(member -> member.exit("stopped", true));
    }
  }

  private void abortUnlessAllStopped(Attempt attempt, AttemptState state, JobSpec spec) {
    if (!state.ended && state.stopRequestedAt.size() < spec.tasks()) {
      abort(attempt, state);
    }
  }
}
