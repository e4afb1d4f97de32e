package io.pearscale.scheduler.records;

/** A part of the leader that adds records of its own to the leader's transactions. */
public interface TransactionContributor {
  /** Whether something is to be written now. */
  boolean isDue();

  /** Adds what is due, as far as there is capacity. */
  void contribute(LeaderTransaction transaction);

  /** Notes that the transaction was applied. */
  void onApplied(LeaderTransaction transaction);

  /** Notes that the transaction was not applied, or that its outcome is unknown. */
  void onNotApplied(LeaderTransaction transaction);
}
