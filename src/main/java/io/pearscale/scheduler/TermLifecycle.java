package io.pearscale.scheduler;

import io.pearscale.scheduler.maintenance.DrainCoordinator;
import io.pearscale.scheduler.model.Leadership;
import java.time.Instant;

/**
 * Begins and ends the terms of this controller, and starts the recovery from the records of
 * previous leaders.
 */
final class TermLifecycle {
  private final LeaderComponents components;
  private final Leadership leadership;
  private boolean replicaLoaded;

  /** The revision of the replica of the stored keys; meaningless until the replica is loaded. */
  private long storeRevision;

  TermLifecycle(LeaderComponents components) {
    this.components = components;
    this.leadership = components.leadership;
  }

  /**
   * Begins a term after this controller was elected. No scheduling decision is made before the
   * recovery has completed.
   */
  void beginTerm(long term, long termRevision, Instant provenAt) {
    leadership.beginTerm(term, termRevision, provenAt);
    components.schedulingPass.beginTerm();
    components.recordWriter.beginTerm();
    components.dispatcher.beginTerm();
    components.recovery.beginTerm();
    components.machineProvisioner.beginTerm();
  }

  /** Ends the term and discards all state that exists only on a leader. */
  void endTerm() {
    leadership.endTerm();
    components.inventory.clear();
    components.jobs.clearQueue();
    components.dispatcher.endTerm();
    components.records.clear();
    components.taskCountPublisher.clear();
    components.gangs.clear();
    components.drainCoordinator.ifPresent(DrainCoordinator::endTerm);
    components.machineProvisioner.endTerm();
    components.jobs.clearLeaderState();
  }

  /** Handles a load of the replica of the stored keys at the given revision. */
  void replicaLoaded(long revision) {
    replicaLoaded = true;
    replicaAdvanced(revision);
  }

  /** Handles changes of the replica, which is now at the given revision. */
  void replicaAdvanced(long revision) {
    storeRevision = revision;
    takeOverWhenPossible();
  }

  /**
   * Starts the recovery once the replica is recent enough. A new leader must not make decisions
   * based on a replica that is older than its term. The last writes of the previous leader precede
   * the write of the new term, so a replica at or after that revision contains all of them.
   */
  void takeOverWhenPossible() {
    boolean replicaCoversTerm =
        leadership.isLeading() && replicaLoaded && storeRevision >= leadership.termRevision();
    if (replicaCoversTerm && !leadership.isReady() && components.recovery.recover(storeRevision)) {
      components.drainCoordinator.ifPresent(DrainCoordinator::beginTerm);
      components.schedulingPass.request();
    }
  }
}
