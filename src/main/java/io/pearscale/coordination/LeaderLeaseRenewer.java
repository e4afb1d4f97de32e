package io.pearscale.coordination;

import io.pearscale.storage.KeyValueStoreClient;
import io.pearscale.transport.EventLoop;
import io.pearscale.transport.HttpClient.Reply;
import java.time.Duration;
import java.time.Instant;
import java.util.function.BiConsumer;

/**
 * Renews the leader's grant on a loop of its own. On the loop that does all else a renewal waits in
 * line with hundreds of reports; on a small part of a core, with code that is not yet compiled,
 * that took longer than the grant lasts, and a healthy leader was deposed by its own start.
 *
 * <p>A process whose main loop stands still should lose its leadership all the same: nothing is
 * renewed once the main loop has not shown for a while that it goes on.
 */
public final class LeaderLeaseRenewer {
  /** How often a leader's grant is renewed: four times within the shortest one. */
  static final Duration INTERVAL = Duration.ofMillis(550);

  private final EventLoop own;
  private final EventLoop home;
  private final KeyValueStoreClient state;
  private final Duration patience;
  private volatile Instant progress = Instant.MIN;
  private int round;

  /**
   * Keeps grants.
   *
   * @param own the loop that it runs on, and {@code state} with it
   * @param home the loop of its caller, on which answers are handed back
   * @param patience for how long the main loop may show no progress
   */
  public LeaderLeaseRenewer(
      EventLoop own, EventLoop home, KeyValueStoreClient state, Duration patience) {
    this.own = own;
    this.home = home;
    this.state = state;
    this.patience = patience;
  }

  /** Renews the grant from now on; each answer comes with the time at which it was asked for. */
  public void keep(long grant, BiConsumer<Instant, Reply> answered) {
    progress();
    own.execute(
        () -> {
          round++;
          planRenewal(round, grant, answered);
        });
  }

  /** Renews no longer. */
  public void release() {
    own.execute(() -> round++);
  }

  /** The main loop goes on. */
  public void progress() {
    progress = home.clock().instant();
  }

  private void planRenewal(int keeping, long grant, BiConsumer<Instant, Reply> answered) {
    own.after(INTERVAL, () -> renew(keeping, grant, answered));
  }

  private void renew(int keeping, long grant, BiConsumer<Instant, Reply> answered) {
    if (keeping != round) {
      return;
    }
    Instant sent = own.clock().instant();
    if (sent.isBefore(progress.plus(patience))) {
      state.extend(grant, reply -> home.execute(() -> answered.accept(sent, reply)));
    }
    planRenewal(keeping, grant, answered);
  }
}
