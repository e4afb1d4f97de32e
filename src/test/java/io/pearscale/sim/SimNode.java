package io.pearscale.sim;

import com.fasterxml.jackson.databind.JsonNode;
import io.pearscale.bookkeeping.Controller;
import io.pearscale.bookkeeping.Tuning;
import io.pearscale.transport.Calls;
import io.pearscale.transport.Links;
import io.pearscale.transport.Loop;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.LinkedHashSet;
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
  private final Map<String, Instant> heard = new HashMap<>();

  /** How fast the steady clock runs. */
  double drift = 1.0;

  SimNode(World world, String name) {
    this.world = world;
    this.name = name;
  }

  boolean isUp() {
    return controller != null;
  }

  /** The seam that real sockets fill in production. */
  private final class Process implements Loop, Calls, Links {
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
              task.run();
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
      world.request(
          name,
          address,
          method,
          path,
          body,
          timeout,
          r -> {
            if (alive()) {
              answer.accept(r);
            }
          });
    }

    @Override
    public boolean send(String peer, byte[] frame) {
      if (world.linksRefused) {
        return false;
      }
      SimNode to = world.nodes.get(peer);
      world.records++;
      world.carry(name, peer, () -> to.fromPeer(name, frame));
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
      heard.put(peer, world.now);
      controller.fromPeer(peer, frame);
    }
  }

  void start() {
    life++;
    heard.clear();
    Process p = new Process();
    controller =
        new Controller(
            p,
            p,
            p,
            world.settings(name),
            Tuning.defaults(),
            RandomGeneratorFactory.of("L64X128MixRandom").create(world.random.nextLong()),
            () -> world.now);
    controller.start();
    world.note(name + " starts");
  }

  void crash() {
    life++;
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
                n.controller.peerEnded(name);
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
          controller.peerEnded(n.name);
        }
      }
    }
  }

  /** Hands a peer record in, as if it came over the link. */
  void inject(byte[] frame) {
    fromPeer(world.nodes.keySet().stream().filter(n -> !n.equals(name)).findFirst().get(), frame);
  }

  void serve(String method, String path, JsonNode body, Consumer<Calls.Reply> answer) {
    if (controller == null) {
      answer.accept(Calls.Reply.NONE);
      return;
    }
    int mine = life;
    controller.request(
        method,
        path,
        body.isMissingNode() ? Optional.empty() : Optional.of(body),
        r -> {
          if (mine == life) {
            answer.accept(new Calls.Reply(r.status(), r.body()));
          }
        });
  }
}
