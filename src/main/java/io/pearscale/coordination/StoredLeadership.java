package io.pearscale.coordination;

import io.pearscale.storage.Keys;
import io.pearscale.storage.LeaderRecord;
import io.pearscale.storage.StoreReplicaActor.Entry;
import io.pearscale.storage.StoreReplicaActor.KeyChange;
import io.pearscale.storage.TermRecord;
import java.util.Map;
import java.util.Optional;

/** The leader and the highest term as the key-value store holds them, as far as known here. */
final class StoredLeadership {
  private Optional<LeaderRecord> leader = Optional.empty();
  private long leaderRevision;
  private long term;
  private long termRevision;

  /** Takes over all keys as they were loaded. */
  void load(Map<String, Entry> entries) {
    updateLeader(Optional.ofNullable(entries.get(Keys.LEADER)));
    updateTerm(Optional.ofNullable(entries.get(Keys.TERM)));
  }

  /**
   * Takes over a change of a key.
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

  /** Who leads; empty while nobody does. */
  Optional<LeaderRecord> leader() {
    return leader;
  }

  /** The revision of the leader's key; 0 while nobody leads. */
  long leaderRevision() {
    return leaderRevision;
  }

  /** The highest term so far; 0 before the first one. */
  long term() {
    return term;
  }

  /** The revision of the term's key; 0 while there is none. */
  long termRevision() {
    return termRevision;
  }

  /** Whether the host leads in the highest term. */
  boolean isLeader(String host, long inTerm) {
    return term == inTerm && leader.map(record -> record.host().equals(host)).orElse(false);
  }
}
