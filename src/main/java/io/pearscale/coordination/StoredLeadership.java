package io.pearscale.coordination;

import io.pearscale.storage.Keys;
import io.pearscale.storage.LeaderRecord;
import io.pearscale.storage.StoreReplicaActor.Entry;
import io.pearscale.storage.StoreReplicaActor.KeyChange;
import io.pearscale.storage.TermRecord;
import java.util.Map;
import java.util.Optional;

/** The leader and the highest term in this controller's replica of the key-value store. */
final class StoredLeadership {
  private Optional<LeaderRecord> leader = Optional.empty();
  private long leaderRevision;
  private long term;
  private long termRevision;

  /** Replaces the state with the loaded keys. */
  void load(Map<String, Entry> entries) {
    updateLeader(Optional.ofNullable(entries.get(Keys.LEADER)));
    updateTerm(Optional.ofNullable(entries.get(Keys.TERM)));
  }

  /**
   * Applies a change of a key.
   *
   * @return whether the change concerns the leader or the term
   */
  boolean apply(KeyChange change) {
    if (change.key().equals(Keys.LEADER)) {
      updateLeader(change.entry());
      return true;
    }
    if (change.key().equals(Keys.TERM)) {
      updateTerm(change.entry());
      return true;
    }
    return false;
  }

  private void updateLeader(Optional<Entry> entry) {
    leader = entry.map(Entry::value).map(LeaderRecord::decode);
    leaderRevision = entry.map(Entry::revision).orElse(0L);
  }

  private void updateTerm(Optional<Entry> entry) {
    term = entry.map(Entry::value).map(TermRecord::decodeTerm).orElse(0L);
    termRevision = entry.map(Entry::revision).orElse(0L);
  }

  /** Returns the leader; empty if there is none. */
  Optional<LeaderRecord> leader() {
    return leader;
  }

  /** Returns the revision of the leader's key; 0 if there is no leader. */
  long leaderRevision() {
    return leaderRevision;
  }

  /** Returns the highest term; 0 before the first term. */
  long term() {
    return term;
  }

  /** Returns the revision of the term's key; 0 if the key does not exist. */
  long termRevision() {
    return termRevision;
  }

  /** Returns whether the host leads in the given term and that term is the highest one. */
  boolean isLeader(String host, long inTerm) {
    return term == inTerm && leader.map(record -> record.host().equals(host)).orElse(false);
  }
}
