package io.pearscale.scheduler.records;

/** Something that has records to write, which go along with the leader's transactions. */
public interface TransactionContributor {
  /** Whether something waits to be written now. */
  boolean isDue();

  /** Adds what there is room for. */
  void contribute(LeaderTransaction transaction);

  /** The transaction was applied. */
  void onApplied(LeaderTransaction transaction);

  /** The transaction was not applied, as far as known. */
  void onNotApplied(LeaderTransaction transaction);
}
