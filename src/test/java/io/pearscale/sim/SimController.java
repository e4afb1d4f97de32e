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

/** A controller's process in the simulated world: it can be killed and started again. */
final class SimController {
  private final SimulatedCluster cluster;
  final String name;
  private int incarnation;
  private Controller controller;
  private Optional<ExternalProcess> externalProcess = Optional.empty();
  private final Map<String, Instant> lastReceived = new HashMap<>();

  // Standing still: what was about to be sent, timers that came due, what came in.
  private Instant frozenUntil = Instant.MIN;
  private Optional<Duration> freezeAtNextSend = Optional.empty();
  private final List<Runnable> deferredSends = new ArrayList<>();
  private final List<Runnable> deferredTimers = new ArrayList<>();
  private final List<Runnable> deferredInput = new ArrayList<>();

  /** What each message, answer and timer takes of the process's time, and until when it is busy. */
  Duration processingTime = Duration.ZERO;

  private Instant busyUntil = Instant.MIN;

  /** The levels of stored forms that the build on this host supports, from its next start on. */
  SupportedLevels installedLevels = SupportedLevels.OF_THIS_BUILD;

  /** Those of the build that runs. */
  SupportedLevels runningLevels = installedLevels;

  /** How fast the steady clock runs. */
  double clockRate = 1.0;

  SimController(SimulatedCluster cluster, String name) {
    this.cluster = cluster;
    this.name = name;
  }

  boolean isUp() {
    return controller != null || externalProcess.isPresent();
  }

  /** Lets a process outside of the simulated world answer in place of a controller in it. */
  void delegateTo(ExternalProcess process) {
    externalProcess = Optional.of(process);
  }

  /** A controller's process outside of the simulated world. */
  interface ExternalProcess {
    void request(
        String from, String method, String path, JsonNode body, Consumer<HttpClient.Reply> answer);
  }

  /** The seam that real sockets fill in production. */
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
              cluster.request(
                  name,
                  address,
                  method,
                  path,
                  body,
                  timeout,
                  r -> {
                    if (isCurrent()) {
                      runOrDefer(deferredInput, () -> answer.accept(r));
                    }
                  }));
    }

    @Override
    public boolean send(String peer, byte[] frame) {
      if (cluster.linksRefused) {
        return false;
      }
      SimController to = cluster.controllers.get(peer);
      cluster.peerRecords++;
      cluster.wireRecorder.ifPresent(recorder -> recorder.record(name, peer, frame));
      sendOrDefer(() -> cluster.deliver(name, peer, () -> to.receivePeerRecord(name, frame)));
      return true;
    }

    @Override
    public Set<String> connected() {
      Set<String> up = new LinkedHashSet<>();
      lastReceived.forEach(
          (peer, at) -> {
            if (!cluster.linksRefused && at.isAfter(cluster.now.minusSeconds(3))) {
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
            lastReceived.put(peer, cluster.now);
            controller.handlePeerRecord(peer, frame);
          });
    }
  }

  /**
   * The process stands still for so long while its clocks run on.
   *
   * @param midway it stops between deciding and sending: the next message waits, all else with it
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
    cluster.trace(name + " stands still");
    cluster.at(
        frozenUntil,
        () -> {
          if (ownIncarnation == incarnation) {
            cluster.trace(name + " goes on");
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

  /** On a slow processor whatever comes in waits for what came before. */
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

  /** Builds from before level 2 say nothing of themselves unless they are told to. */
  private OperatorSettings operations() {
    return runningLevels.contains(Feature.GANG_JOBS.requiredLevel())
            || !cluster.operations.automaticLevel()
        ? cluster.operations
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

  /** As a real process does: all timers that are due run before anything is read. */
  private void resume() {
    for (List<Runnable> queue : List.of(deferredSends, deferredTimers, deferredInput)) {
      List<Runnable> tasks = List.copyOf(queue);
      queue.clear();
      tasks.forEach(t -> runOrDefer(queue, t));
    }
  }

  private void clearQueues() {
    lastReceived.clear();
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
    // Its sockets close; a peer that dials again is refused.
    for (SimController peer : cluster.controllers.values()) {
      if (peer != this) {
        cluster.deliver(
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

  /** Its links were closed, and new ones are refused, while all processes live. */
  void refuseLinks() {
    if (controller != null) {
      for (SimController peer : cluster.controllers.values()) {
        if (peer != this) {
          controller.peerConnectionRefused(peer.name);
        }
      }
    }
  }

  /** Hands a peer record in, as if it came over the link. */
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
                r ->
                    sendOrDefer(
                        () -> {
                          if (ownIncarnation == incarnation) {
                            answer.accept(
                                new HttpClient.Reply(
                                    r.status(), r.body().tree().orElse(MessagePack.MISSING)));
                          }
                        })));
  }
}
