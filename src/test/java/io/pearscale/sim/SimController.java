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
  private final SimulatedCluster world;
  final String name;
  private int incarnation;
  private Controller controller;
  private Optional<External> external = Optional.empty();
  private final Map<String, Instant> lastReceived = new HashMap<>();

  // Standing still: what was about to be sent, timers that came due, what came in.
  private Instant frozenUntil = Instant.MIN;
  private Optional<Duration> freezesAtNextSend = Optional.empty();
  private final List<Runnable> unsent = new ArrayList<>();
  private final List<Runnable> dueTimers = new ArrayList<>();
  private final List<Runnable> unread = new ArrayList<>();

  /** What each message, answer and timer takes of the process's time, and until when it is busy. */
  Duration processingTime = Duration.ZERO;

  private Instant busyUntil = Instant.MIN;

  /** The levels of stored forms that the build on this host supports, from its next start on. */
  SupportedLevels installedLevels = SupportedLevels.OF_THIS_BUILD;

  /** Those of the build that runs. */
  SupportedLevels runningLevels = installedLevels;

  /** How fast the steady clock runs. */
  double drift = 1.0;

  SimController(SimulatedCluster cluster, String name) {
    this.world = cluster;
    this.name = name;
  }

  boolean isUp() {
    return controller != null || external.isPresent();
  }

  /** Lets a process outside of the simulated world answer in place of a controller in it. */
  void answerBy(External process) {
    external = Optional.of(process);
  }

  /** A controller's process outside of the simulated world. */
  interface External {
    void request(
        String from, String method, String path, JsonNode body, Consumer<HttpClient.Reply> answer);
  }

  /** The seam that real sockets fill in production. */
  private final class SimProcess implements EventLoop, HttpClient, PeerTransport {
    final int incarnationOfProcess = incarnation;

    private boolean alive() {
      return incarnationOfProcess == incarnation;
    }

    @Override
    public void execute(Runnable task) {
      schedule(Duration.ZERO, task);
    }

    @Override
    public void schedule(Duration delay, Runnable task) {
      world.after(
          delay,
          () -> {
            if (alive()) {
              unlessFrozen(dueTimers, task);
            }
          });
    }

    @Override
    public InstantSource clock() {
      return () ->
          Instant.EPOCH
              .plusNanos((long) (world.elapsed().toNanos() * drift))
              .plusSeconds(incarnationOfProcess);
    }

    @Override
    public void call(
        String address,
        String method,
        String path,
        JsonNode body,
        Duration timeout,
        Consumer<Reply> answer) {
      sending(
          () ->
              world.request(
                  name,
                  address,
                  method,
                  path,
                  body,
                  timeout,
                  r -> {
                    if (alive()) {
                      unlessFrozen(unread, () -> answer.accept(r));
                    }
                  }));
    }

    @Override
    public boolean send(String peer, byte[] frame) {
      if (world.peerConnectionsRefused) {
        return false;
      }
      SimController to = world.controllers.get(peer);
      world.peerRecords++;
      world.wireRecorder.ifPresent(recorder -> recorder.record(name, peer, frame));
      sending(() -> world.deliver(name, peer, () -> to.fromPeer(name, frame)));
      return true;
    }

    @Override
    public Set<String> connectedPeers() {
      Set<String> up = new LinkedHashSet<>();
      lastReceived.forEach(
          (peer, at) -> {
            if (!world.peerConnectionsRefused && at.isAfter(world.now.minusSeconds(3))) {
              up.add(peer);
            }
          });
      return up;
    }
  }

  private void fromPeer(String peer, byte[] frame) {
    if (controller != null) {
      unlessFrozen(
          unread,
          () -> {
            lastReceived.put(peer, world.now);
            controller.handlePeerMessage(peer, frame);
          });
    }
  }

  /**
   * The process stands still for so long while its clocks run on.
   *
   * @param midway it stops between deciding and sending: the next message waits, all else with it
   */
  void freeze(Duration time, boolean midway) {
    if (controller != null) {
      freezesAtNextSend = midway ? Optional.of(time) : Optional.empty();
      if (!midway) {
        freezeNow(time);
      }
    }
  }

  private void freezeNow(Duration time) {
    int mine = incarnation;
    frozenUntil = world.now.plus(time);
    world.trace(name + " stands still");
    world.at(
        frozenUntil,
        () -> {
          if (mine == incarnation) {
            world.trace(name + " goes on");
            wake();
          }
        });
  }

  private boolean frozen() {
    return world.now.isBefore(frozenUntil);
  }

  private void unlessFrozen(List<Runnable> queue, Runnable task) {
    if (frozen()) {
      queue.add(task);
    } else if (processingTime.isZero() && !world.now.isBefore(busyUntil)) {
      task.run();
    } else {
      inTurn(queue, task);
    }
  }

  /** On a slow processor whatever comes in waits for what came before. */
  private void inTurn(List<Runnable> queue, Runnable task) {
    Instant turn = world.now.isBefore(busyUntil) ? busyUntil : world.now;
    busyUntil = turn.plus(processingTime);
    int mine = incarnation;
    world.at(
        turn,
        () -> {
          if (mine == incarnation && frozen()) {
            queue.add(task);
          } else if (mine == incarnation) {
            task.run();
          }
        });
  }

  /** Builds from before level 2 say nothing of themselves unless they are told to. */
  private OperatorSettings operations() {
    return runningLevels.contains(Feature.GANG_JOBS.requiredLevel())
            || !world.operatorSettings.automaticLevel()
        ? world.operatorSettings
        : OperatorSettings.disabled();
  }

  private void sending(Runnable message) {
    freezesAtNextSend.ifPresent(this::freezeNow);
    freezesAtNextSend = Optional.empty();
    if (frozen()) {
      unsent.add(message);
    } else {
      message.run();
    }
  }

  /** As a real process does: all timers that are due run before anything is read. */
  private void wake() {
    for (List<Runnable> queue : List.of(unsent, dueTimers, unread)) {
      List<Runnable> tasks = List.copyOf(queue);
      queue.clear();
      tasks.forEach(t -> unlessFrozen(queue, t));
    }
  }

  private void clearQueues() {
    lastReceived.clear();
    busyUntil = Instant.MIN;
    frozenUntil = Instant.MIN;
    freezesAtNextSend = Optional.empty();
    unsent.clear();
    dueTimers.clear();
    unread.clear();
  }

  void start() {
    incarnation++;
    clearQueues();
    runningLevels = installedLevels;
    SimProcess p = new SimProcess();
    controller =
        new Controller(
            p,
            p,
            new Controller.RenewalLoop(p, p),
            p,
            world.settings(name),
            installedLevels,
            new Controller.Options(Tuning.defaults(), operations()),
            RandomGeneratorFactory.of("L64X128MixRandom").create(world.random.nextLong()),
            () -> world.now);
    controller.start();
    world.trace(name + " starts");
  }

  void crash() {
    incarnation++;
    clearQueues();
    controller = null;
    world.trace(name + " crashes");
    // Its sockets close; a peer that dials again is refused.
    for (SimController n : world.controllers.values()) {
      if (n != this) {
        world.deliver(
            name,
            n.name,
            () -> {
              if (n.controller != null && controller == null) {
                n.controller.peerConnectionRefused(name);
              }
            });
      }
    }
  }

  /** Its links were closed, and new ones are refused, while all processes live. */
  void refuseLinks() {
    if (controller != null) {
      for (SimController n : world.controllers.values()) {
        if (n != this) {
          controller.peerConnectionRefused(n.name);
        }
      }
    }
  }

  /** Hands a peer record in, as if it came over the link. */
  void inject(byte[] frame) {
    fromPeer(
        world.controllers.keySet().stream().filter(n -> !n.equals(name)).findFirst().get(), frame);
  }

  void serve(
      String from, String method, String path, JsonNode body, Consumer<HttpClient.Reply> answer) {
    if (external.isPresent()) {
      external.get().request(from, method, path, body, answer);
      return;
    }
    if (controller == null) {
      answer.accept(HttpClient.Reply.NO_RESPONSE);
      return;
    }
    int mine = incarnation;
    unlessFrozen(
        unread,
        () ->
            controller.handleRequest(
                method,
                path,
                Body.of(body),
                r ->
                    sending(
                        () -> {
                          if (mine == incarnation) {
                            answer.accept(
                                new HttpClient.Reply(
                                    r.status(), r.body().tree().orElse(MessagePack.MISSING)));
                          }
                        })));
  }
}
