package io.pearscale.scheduler;

import io.pearscale.scheduler.maintenance.DrainCoordinator;
import io.pearscale.scheduler.model.Leadership;
import java.time.Instant;

/** Begins and ends the terms of this controller, and takes over what its predecessors recorded. */
final class TermLifecycle {
  private final LeaderComponents components;
  private final Leadership leadership;
  private boolean replicaLoaded;

  /** The revision of the copy of the keys; without a meaning before it is loaded. */
  private long storeRevision;

  TermLifecycle(LeaderComponents components) {
    this.components = components;
    this.leadership = components.leadership;
  }

  /** This controller was elected; nothing is decided before it has taken over. */
  void beginTerm(long term, long termRevision, Instant provenAt) {
    leadership.begin(term, termRevision, provenAt);
    components.placementPass.beginTerm();
    components.recordWriter.beginTerm();
    components.dispatcher.begin();
    components.recovery.beginTerm();
    components.machineProvisioner.begin();
  }

  /** This controller does not lead any more: forgets all that only a leader knows. */
  void endTerm() {
    leadership.end();
    components.inventory.clear();
    components.jobs.clearQueue();
    components.dispatcher.end();
    components.records.clear();
    components.taskCountPublisher.clear();
    components.gangs.clear();
    components.drainCoordinator.ifPresent(DrainCoordinator::endTerm);
    components.machineProvisioner.end();
    components.jobs.clearLeaderState();
  }

  /** The copy of the keys was loaded, and has that revision. */
  void replicaLoaded(long revision) {
    replicaLoaded = true;
    replicaAdvanced(revision);
  }

  /** The copy of the keys has changed, and has that revision now. */
  void replicaAdvanced(long revision) {
    storeRevision = revision;
    takeOverWhenPossible();
  }

  /**
   * Takes over once the copy of the keys is new enough. A new leader may not decide on a copy from
   * before its term: the last writes of its predecessor are older than the term, so a copy as new
   * as the term has them all.
   */
  void takeOverWhenPossible() {
    boolean possible =
        leadership.isLeading() && replicaLoaded && storeRevision >= leadership.termRevision();
    if (possible && !leadership.isReady() && components.recovery.recover(storeRevision)) {
      components.drainCoordinator.ifPresent(DrainCoordinator::beginTerm);
      components.placementPass.request();
    }
  }
}
