package io.pearscale.scheduler;

/** How new this controller's copy of the keys is, in revisions of the key-value store. */
final class ReplicaStatus {
  private boolean loaded;
  private long firstLoadRevision;
  private long revision;

  /** The copy was loaded, for the first time or anew. */
  void loaded(long loadRevision) {
    firstLoadRevision = loaded ? firstLoadRevision : loadRevision;
    loaded = true;
    revision = loadRevision;
  }

  /** Changes up to that revision were applied. */
  void advancedTo(long newRevision) {
    revision = newRevision;
  }

  /** Whether the copy was loaded since this process started. */
  boolean isLoaded() {
    return loaded;
  }

  /**
   * The revision of the first copy that this process loaded; 0 before. What a previous process of
   * this controller told users was durable by then.
   */
  long firstLoadRevision() {
    return firstLoadRevision;
  }

  /** The revision of the copy; 0 before it is loaded. */
  long revision() {
    return revision;
  }
}
