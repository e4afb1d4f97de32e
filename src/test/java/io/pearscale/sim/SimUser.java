package io.pearscale.sim;

import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.protocol.TaskId;
import io.pearscale.transport.HttpClient.Reply;
import io.pearscale.transport.MessagePack;
import java.time.Duration;
import java.time.Instant;
import java.util.Set;
import java.util.function.Consumer;

/** A simulated user of one job, who submits, polls, may cancel, and checks the responses. */
final class SimUser {
  private static final Duration ANSWER_DEADLINE = Duration.ofSeconds(75);

  private final SimulatedCluster cluster;
  final JobSpec spec;
  private final Duration runTime;

  /** Whether the job has an error in its specification, so that it fails on every machine. */
  private final boolean failsEverywhere;

  /** The run time of each task exceeds that of the previous one by this. */
  private final Duration runTimeStep;

  boolean accepted;
  Instant acceptedAt;
  private Instant lastAnswered;
  Instant cancelledAt;
  private boolean cancelRequested;
  String stage = "";
  private Instant endReportedAt = Instant.MAX;
  Instant doneAt;
  private boolean polling;

  SimUser(
      SimulatedCluster cluster,
      JobSpec spec,
      Duration runTime,
      Duration runTimeStep,
      boolean failsEverywhere) {
    this.failsEverywhere = failsEverywhere;
    this.runTimeStep = runTimeStep;
    this.cluster = cluster;
    this.spec = spec;
    this.runTime = runTime;
  }

  /** Returns how long a task of the job runs. */
  Duration runTime(TaskId task) {
    return runTime.plus(runTimeStep.multipliedBy(task.index()));
  }

  /** Returns whether the user has asked to cancel the job, confirmed or not. */
  boolean cancelRequested() {
    return cancelRequested;
  }

  boolean failsEverywhere() {
    return failsEverywhere;
  }

  /** Sends a single status query without retries and counts whether it succeeds. */
  void pollOnce() {
    cluster.burstQueries++;
    send(
        "GET",
        "/work/" + spec.id(),
        MessagePack.MISSING,
        reply -> cluster.answeredBurstQueries += reply.status() == 200 ? 1 : 0);
  }

  static TaskId parseTask(String text) {
    try {
      return TaskId.parse(text);
    } catch (MalformedMessageException e) {
      throw new IllegalArgumentException(e);
    }
  }

  void submit() {
    Instant sentAt = cluster.now;
    send(
        "POST",
        "/work",
        spec.toNode(),
        reply -> {
          if (reply.status() == 201 || reply.status() == 200) {
            if (!accepted) {
              cluster.trace("user: " + spec.id() + " accepted");
            }
            if (!accepted) {
              acceptedAt = cluster.now;
              lastAnswered = cluster.now;
            }
            accepted = true;
            receiveStage(reply.body().path("stage").asText(), sentAt);
            if (!polling) {
              polling = true;
              cluster.after(Duration.ofSeconds(2), this::poll);
            }
          } else if (accepted && (reply.status() == 400 || reply.status() == 422)) {
            cluster.reportViolation("forgotten", spec.id() + " answered " + reply.status());
          } else if (reply.status() != 400 && reply.status() != 422) {
            cluster.after(Duration.ofSeconds(1), this::submit);
          } else {
            stage = "refused-" + reply.status();
          }
        });
  }

  private void send(
      String method,
      String path,
      com.fasterxml.jackson.databind.JsonNode body,
      Consumer<Reply> answer) {
    var node = cluster.randomRunningController();
    if (node.isEmpty()) {
      cluster.after(Duration.ofMillis(100), () -> answer.accept(Reply.NO_RESPONSE));
    } else {
      cluster.network.request(
          "user", node.get().name, method, path, body, Duration.ofSeconds(4), answer);
    }
  }

  /**
   * Checks and stores a reported stage. A response to a request that was sent before the job's end
   * was reported may be older than that report and is ignored.
   */
  private void receiveStage(String reported, Instant sentAt) {
    boolean finished = stage.equals("done") || stage.equals("withdrawn");
    if (finished && !reported.equals(stage) && !sentAt.isAfter(endReportedAt)) {
      return;
    }
    if (finished && !reported.equals(stage)) {
      cluster.reportViolation(
          "went_back", spec.id() + " was " + stage + ", is now reported as " + reported);
    }
    if (reported.equals("withdrawn") && !cancelRequested) {
      cluster.reportViolation("went_back", spec.id() + " withdrawn without a cancel request");
    }
    if (reported.equals("done") && !stage.equals("done")) {
      doneAt = cluster.now;
      cluster.trace("user: " + spec.id() + " done");
      Set<TaskId> done = SimAgent.completed(cluster);
      for (int i = 0; i < spec.tasks(); i++) {
        if (!done.contains(new TaskId(spec.id(), i))) {
          cluster.reportViolation("not_done", spec.id() + "/" + i);
        }
      }
    }
    if (reported.equals("withdrawn") && cancelledAt == null) {
      cancelledAt = cluster.now;
      cluster.gangChecker().cancelConfirmed(spec.id(), cluster.now);
    }
    if (!finished && (reported.equals("done") || reported.equals("withdrawn"))) {
      endReportedAt = cluster.now;
    }
    stage = reported;
  }

  void poll() {
    Instant sentAt = cluster.now;
    send(
        "GET",
        "/work/" + spec.id(),
        MessagePack.MISSING,
        reply -> {
          if (reply.status() == 200) {
            receiveStage(reply.body().path("stage").asText(), sentAt);
            lastAnswered = cluster.now;
          } else if (reply.status() == 404) {
            cluster.reportViolation("forgotten", spec.id() + " answered 404");
          }
          Instant since =
              lastAnswered.isAfter(cluster.lastFaultAt) ? lastAnswered : cluster.lastFaultAt;
          if (cluster.now.isAfter(since.plus(ANSWER_DEADLINE))) {
            cluster.reportViolation("forgotten", spec.id() + " not answered since " + lastAnswered);
          }
          cluster.after(Duration.ofSeconds(3), this::poll);
        });
  }

  void cancel() {
    Instant sentAt = cluster.now;
    cancelRequested = true;
    send(
        "POST",
        "/work/" + spec.id() + "/cancel",
        MessagePack.MISSING,
        reply -> {
          if (reply.status() == 200) {
            receiveStage(reply.body().path("stage").asText(), sentAt);
          } else if (reply.status() == 404 && accepted && sentAt.isAfter(acceptedAt)) {
            cluster.reportViolation("forgotten", spec.id() + " cancel answered 404");
          } else {
            cluster.after(Duration.ofSeconds(1), this::cancel);
          }
        });
  }

  boolean isFinished() {
    return stage.equals("done") || stage.equals("withdrawn");
  }
}
