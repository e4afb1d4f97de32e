package io.pearscale.sim;

import com.fasterxml.jackson.databind.JsonNode;
import io.pearscale.scheduler.Controller;
import io.pearscale.scheduler.OperatorSettings;
import io.pearscale.scheduler.Tuning;
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
final class SimNode {
  private final World world;
  final String name;
  private int life;
  private Controller controller;
  private Optional<External> external = Optional.empty();
  private final Map<String, Instant> heard = new HashMap<>();

  // Standing still: what was about to be sent, timers that came due, what came in.
  private Instant frozenUntil = Instant.MIN;
  private Optional<Duration> freezesAtNextSend = Optional.empty();
  private final List<Runnable> unsent = new ArrayList<>();
  private final List<Runnable> dueTimers = new ArrayList<>();
  private final List<Runnable> unread = new ArrayList<>();

  /** What each message, answer and timer takes of the process's time, and until when it is busy. */
  Duration cost = Duration.ZERO;

  private Instant busyUntil = Instant.MIN;

  /** The levels of stored forms that the build on this host supports, from its next start on. */
  SupportedLevels supported = SupportedLevels.OF_THIS_BUILD;

  /** Those of the build that runs. */
  SupportedLevels running = supported;

  /** How fast the steady clock runs. */
  double drift = 1.0;

  SimNode(World world, String name) {
    this.world = world;
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
  private final class Process implements EventLoop, HttpClient, PeerTransport {
    final int mine = life;

    private boolean alive() {
      return mine == life;
    }

    @Override
    public void execute(Runnable task) {
      after(Duration.ZERO, task);
    }

    @Override
    public void after(Duration delay, Runnable task) {
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
          Instant.EPOCH.plusNanos((long) (world.passed().toNanos() * drift)).plusSeconds(mine);
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
      if (world.linksRefused) {
        return false;
      }
      SimNode to = world.nodes.get(peer);
      world.records++;
      sending(() -> world.carry(name, peer, () -> to.fromPeer(name, frame)));
      return true;
    }

    @Override
    public Set<String> connected() {
      Set<String> up = new LinkedHashSet<>();
      heard.forEach(
          (peer, at) -> {
            if (!world.linksRefused && at.isAfter(world.now.minusSeconds(3))) {
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
            heard.put(peer, world.now);
            controller.handlePeerRecord(peer, frame);
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
    int mine = life;
    frozenUntil = world.now.plus(time);
    world.note(name + " stands still");
    world.at(
        frozenUntil,
        () -> {
          if (mine == life) {
            world.note(name + " goes on");
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
    } else if (cost.isZero() && !world.now.isBefore(busyUntil)) {
      task.run();
    } else {
      inTurn(queue, task);
    }
  }

  /** On a slow processor whatever comes in waits for what came before. */
  private void inTurn(List<Runnable> queue, Runnable task) {
    Instant turn = world.now.isBefore(busyUntil) ? busyUntil : world.now;
    busyUntil = turn.plus(cost);
    int mine = life;
    world.at(
        turn,
        () -> {
          if (mine == life && frozen()) {
            queue.add(task);
          } else if (mine == life) {
            task.run();
          }
        });
  }

  /** Builds from before level 2 say nothing of themselves unless they are told to. */
  private OperatorSettings operations() {
    return running.contains(Feature.GANG_JOBS.requiredLevel()) || !world.operations.automaticLevel()
        ? world.operations
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

  private void forget() {
    heard.clear();
    busyUntil = Instant.MIN;
    frozenUntil = Instant.MIN;
    freezesAtNextSend = Optional.empty();
    unsent.clear();
    dueTimers.clear();
    unread.clear();
  }

  void start() {
    life++;
    forget();
    running = supported;
    Process p = new Process();
    controller =
        new Controller(
            p,
            p,
            new Controller.RenewalLoop(p, p),
            p,
            world.settings(name),
            supported,
            new Controller.Options(Tuning.defaults(), operations()),
            RandomGeneratorFactory.of("L64X128MixRandom").create(world.random.nextLong()),
            () -> world.now);
    controller.start();
    world.note(name + " starts");
  }

  void crash() {
    life++;
    forget();
    controller = null;
    world.note(name + " crashes");
    // Its sockets close; a peer that dials again is refused.
    for (SimNode n : world.nodes.values()) {
      if (n != this) {
        world.carry(
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
  void linksRefused() {
    if (controller != null) {
      for (SimNode n : world.nodes.values()) {
        if (n != this) {
          controller.peerConnectionRefused(n.name);
        }
      }
    }
  }

  /** Hands a peer record in, as if it came over the link. */
  void inject(byte[] frame) {
    fromPeer(world.nodes.keySet().stream().filter(n -> !n.equals(name)).findFirst().get(), frame);
  }

  void serve(
      String from, String method, String path, JsonNode body, Consumer<HttpClient.Reply> answer) {
    if (external.isPresent()) {
      external.get().request(from, method, path, body, answer);
      return;
    }
    if (controller == null) {
      answer.accept(HttpClient.Reply.NONE);
      return;
    }
    int mine = life;
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
                          if (mine == life) {
                            answer.accept(
                                new HttpClient.Reply(
                                    r.status(), r.body().tree().orElse(MessagePack.MISSING)));
                          }
                        })));
  }
}
