package io.pearscale.scheduler;

/** The revision of this controller's replica of the key-value store. */
final class ReplicaStatus {
  private boolean loaded;
  private long firstLoadRevision;
  private long revision;

  /** Records the first load or a reload of the replica. */
  void loaded(long loadRevision) {
    firstLoadRevision = loaded ? firstLoadRevision : loadRevision;
    loaded = true;
    revision = loadRevision;
  }

  /** Records that changes up to the given revision were applied. */
  void advancedTo(long newRevision) {
    revision = newRevision;
  }

  /** Returns whether this process has loaded the replica. */
  boolean isLoaded() {
    return loaded;
  }

  /**
   * Returns the revision at which this process first loaded the replica; 0 before. Everything that
   * a previous process of this controller acknowledged to users was durable at that revision.
   */
  long firstLoadRevision() {
    return firstLoadRevision;
  }

  /** Returns the revision of the replica; 0 before it is loaded. */
  long revision() {
    return revision;
  }
}
