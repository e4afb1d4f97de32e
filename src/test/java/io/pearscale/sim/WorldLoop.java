package io.pearscale.sim;

import io.pearscale.transport.EventLoop;
import java.time.Duration;
import java.time.InstantSource;

/** The loop of a part that a test plays alone, on the clock of a simulated world. */
abstract class WorldLoop implements EventLoop {
  final World world = new World(1);

  @Override
  public void execute(Runnable task) {
    world.after(Duration.ZERO, task);
  }

  @Override
  public void after(Duration delay, Runnable task) {
    world.after(delay, task);
  }

  @Override
  public InstantSource clock() {
    return () -> world.now;
  }
}
