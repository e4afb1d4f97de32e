package io.pearscale.sim;

import io.pearscale.transport.EventLoop;
import java.time.Duration;
import java.time.InstantSource;

/** Runs the tasks of one component under test on the clock of a simulated cluster. */
abstract class SimulatedEventLoop implements EventLoop {
  final SimulatedCluster cluster = new SimulatedCluster(1);

  @Override
  public void execute(Runnable task) {
    cluster.after(Duration.ZERO, task);
  }

  @Override
  public void schedule(Duration delay, Runnable task) {
    cluster.after(delay, task);
  }

  @Override
  public InstantSource clock() {
    return () -> cluster.now;
  }
}
