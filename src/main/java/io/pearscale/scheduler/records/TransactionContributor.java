package io.pearscale.scheduler.records;

/** A component that adds its records to the leader's transactions. */
public interface TransactionContributor {
  /** Returns whether a write is due now. */
  boolean isDue();

  /** Adds the due records as far as the transaction has capacity. */
  void contribute(LeaderTransaction transaction);

  /** Called when the transaction was applied. */
  void onApplied(LeaderTransaction transaction);

  /** Called when the transaction was not applied or its outcome is unknown. */
  void onNotApplied(LeaderTransaction transaction);
}
