package io.pearscale.sim;

import com.fasterxml.jackson.databind.JsonNode;
import io.pearscale.scheduler.Controller;
import io.pearscale.scheduler.OperatorSettings;
import io.pearscale.scheduler.model.Tuning;
import io.pearscale.transport.Body;
import io.pearscale.transport.EventLoop;
import io.pearscale.transport.HttpClient;
import io.pearscale.transport.MessagePack;
import io.pearscale.transport.PeerTransport;
import io.pearscale.upgrade.Feature;
import io.pearscale.upgrade.SupportedLevels;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGeneratorFactory;

/** A simulated controller process that can crash, freeze and restart. */
final class SimController {
  private final SimulatedCluster cluster;
  final String name;
  private int incarnation;
  private Controller controller;
  private Optional<ExternalProcess> externalProcess = Optional.empty();
  private final Map<String, Instant> lastReceivedAt = new HashMap<>();

  // While frozen: messages to send, timers that are due and received messages.
  private Instant frozenUntil = Instant.MIN;
  private Optional<Duration> freezeAtNextSend = Optional.empty();
  private final List<Runnable> deferredSends = new ArrayList<>();
  private final List<Runnable> deferredTimers = new ArrayList<>();
  private final List<Runnable> deferredInput = new ArrayList<>();

  /** The CPU time that each message, response and timer takes. */
  Duration processingTime = Duration.ZERO;

  private Instant busyUntil = Instant.MIN;

  /** The schema levels that the installed build supports; it runs from the next start on. */
  SupportedLevels installedLevels = SupportedLevels.OF_THIS_BUILD;

  /** The schema levels that the running build supports. */
  SupportedLevels runningLevels = installedLevels;

  /** The rate of the monotonic clock relative to simulated time. */
  double clockRate = 1.0;

  SimController(SimulatedCluster cluster, String name) {
    this.cluster = cluster;
    this.name = name;
  }

  boolean isUp() {
    return controller != null || externalProcess.isPresent();
  }

  /** Forwards all requests to a process outside the simulation instead of a simulated one. */
  void delegateTo(ExternalProcess process) {
    externalProcess = Optional.of(process);
  }

  /** A controller process outside the simulation. */
  interface ExternalProcess {
    void request(
        String from, String method, String path, JsonNode body, Consumer<HttpClient.Reply> answer);
  }

  /** Implements the interfaces that production implements with real sockets and timers. */
  private final class SimProcess implements EventLoop, HttpClient, PeerTransport {
    final int ownIncarnation = incarnation;

    private boolean isCurrent() {
      return ownIncarnation == incarnation;
    }

    @Override
    public void execute(Runnable task) {
      schedule(Duration.ZERO, task);
    }

    @Override
    public void schedule(Duration delay, Runnable task) {
      cluster.after(
          delay,
          () -> {
            if (isCurrent()) {
              runOrDefer(deferredTimers, task);
            }
          });
    }

    @Override
    public InstantSource clock() {
      return () ->
          Instant.EPOCH
              .plusNanos((long) (cluster.elapsed().toNanos() * clockRate))
              .plusSeconds(ownIncarnation);
    }

    @Override
    public void call(
        String address,
        String method,
        String path,
        JsonNode body,
        Duration timeout,
        Consumer<Reply> answer) {
      sendOrDefer(
          () ->
              cluster.network.request(
                  name,
                  address,
                  method,
                  path,
                  body,
                  timeout,
                  reply -> {
                    if (isCurrent()) {
                      runOrDefer(deferredInput, () -> answer.accept(reply));
                    }
                  }));
    }

    @Override
    public boolean send(String peer, byte[] frame) {
      if (cluster.network.peerConnectionsRefused) {
        return false;
      }
      SimController to = cluster.controllers.get(peer);
      cluster.network.peerRecords++;
      cluster.wireRecorder.ifPresent(recorder -> recorder.record(name, peer, frame));
      sendOrDefer(
          () -> cluster.network.deliver(name, peer, () -> to.receivePeerRecord(name, frame)));
      return true;
    }

    @Override
    public Set<String> connectedPeers() {
      Set<String> up = new LinkedHashSet<>();
      lastReceivedAt.forEach(
          (peer, at) -> {
            if (!cluster.network.peerConnectionsRefused
                && at.isAfter(cluster.now.minusSeconds(3))) {
              up.add(peer);
            }
          });
      return up;
    }
  }

  private void receivePeerRecord(String peer, byte[] frame) {
    if (controller != null) {
      runOrDefer(
          deferredInput,
          () -> {
            lastReceivedAt.put(peer, cluster.now);
            controller.handlePeerMessage(peer, frame);
          });
    }
  }

  /**
   * Makes the process unresponsive for a time, during which its clocks keep running.
   *
   * @param midway whether to freeze at the next message to send, between decision and sending, and
   *     not at once
   */
  void freeze(Duration duration, boolean midway) {
    if (controller != null) {
      freezeAtNextSend = midway ? Optional.of(duration) : Optional.empty();
      if (!midway) {
        freezeNow(duration);
      }
    }
  }

  private void freezeNow(Duration duration) {
    int ownIncarnation = incarnation;
    frozenUntil = cluster.now.plus(duration);
    cluster.trace(name + " becomes unresponsive");
    cluster.at(
        frozenUntil,
        () -> {
          if (ownIncarnation == incarnation) {
            cluster.trace(name + " resumes");
            resume();
          }
        });
  }

  private boolean isFrozen() {
    return cluster.now.isBefore(frozenUntil);
  }

  private void runOrDefer(List<Runnable> queue, Runnable task) {
    if (isFrozen()) {
      queue.add(task);
    } else if (processingTime.isZero() && !cluster.now.isBefore(busyUntil)) {
      task.run();
    } else {
      runAfterBacklog(queue, task);
    }
  }

  /** Queues the task behind earlier input, which a slow processor is still processing. */
  private void runAfterBacklog(List<Runnable> queue, Runnable task) {
    Instant startAt = cluster.now.isBefore(busyUntil) ? busyUntil : cluster.now;
    busyUntil = startAt.plus(processingTime);
    int ownIncarnation = incarnation;
    cluster.at(
        startAt,
        () -> {
          if (ownIncarnation == incarnation && isFrozen()) {
            queue.add(task);
          } else if (ownIncarnation == incarnation) {
            task.run();
          }
        });
  }

  /** Builds without level 2 announce themselves only if their operator settings say so. */
  private OperatorSettings operations() {
    return runningLevels.contains(Feature.GANG_JOBS.requiredLevel())
            || !cluster.operatorSettings.automaticLevel()
        ? cluster.operatorSettings
        : OperatorSettings.disabled();
  }

  private void sendOrDefer(Runnable message) {
    freezeAtNextSend.ifPresent(this::freezeNow);
    freezeAtNextSend = Optional.empty();
    if (isFrozen()) {
      deferredSends.add(message);
    } else {
      message.run();
    }
  }

  /** Resumes in the order of a real process: all timers that are due run before input is read. */
  private void resume() {
    for (List<Runnable> queue : List.of(deferredSends, deferredTimers, deferredInput)) {
      List<Runnable> tasks = List.copyOf(queue);
      queue.clear();
      tasks.forEach(t -> runOrDefer(queue, t));
    }
  }

  private void clearQueues() {
    lastReceivedAt.clear();
    busyUntil = Instant.MIN;
    frozenUntil = Instant.MIN;
    freezeAtNextSend = Optional.empty();
    deferredSends.clear();
    deferredTimers.clear();
    deferredInput.clear();
  }

  void start() {
    incarnation++;
    clearQueues();
    runningLevels = installedLevels;
    SimProcess process = new SimProcess();
    controller =
        new Controller(
            process,
            process,
            new Controller.RenewalLoop(process, process),
            process,
            cluster.settings(name),
            installedLevels,
            new Controller.Options(Tuning.defaults(), operations()),
            RandomGeneratorFactory.of("L64X128MixRandom").create(cluster.random.nextLong()),
            () -> cluster.now);
    controller.start();
    cluster.trace(name + " starts");
  }

  void crash() {
    incarnation++;
    clearQueues();
    controller = null;
    cluster.trace(name + " crashes");
    // The sockets close and the peers' attempts to reconnect are refused.
    for (SimController peer : cluster.controllers.values()) {
      if (peer != this) {
        cluster.network.deliver(
            name,
            peer.name,
            () -> {
              if (peer.controller != null && controller == null) {
                peer.controller.peerConnectionRefused(name);
              }
            });
      }
    }
  }

  /** Simulates closed and refused connections to all peers while all processes run. */
  void refuseLinks() {
    if (controller != null) {
      for (SimController peer : cluster.controllers.values()) {
        if (peer != this) {
          controller.peerConnectionRefused(peer.name);
        }
      }
    }
  }

  /** Delivers a peer record as if another controller had sent it. */
  void injectPeerRecord(byte[] frame) {
    receivePeerRecord(
        cluster.controllers.keySet().stream().filter(n -> !n.equals(name)).findFirst().get(),
        frame);
  }

  void handleRequest(
      String from, String method, String path, JsonNode body, Consumer<HttpClient.Reply> answer) {
    if (externalProcess.isPresent()) {
      externalProcess.get().request(from, method, path, body, answer);
      return;
    }
    if (controller == null) {
      answer.accept(HttpClient.Reply.NO_RESPONSE);
      return;
    }
    int ownIncarnation = incarnation;
    runOrDefer(
        deferredInput,
        () ->
            controller.handleRequest(
                method,
                path,
                Body.of(body),
                response ->
                    sendOrDefer(
                        () -> {
                          if (ownIncarnation == incarnation) {
                            answer.accept(
                                new HttpClient.Reply(
                                    response.status(),
                                    response.body().tree().orElse(MessagePack.MISSING)));
                          }
                        })));
  }
}
