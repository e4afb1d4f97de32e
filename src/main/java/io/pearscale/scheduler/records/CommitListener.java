package io.pearscale.scheduler.records;

import io.pearscale.scheduler.model.Job;

/** Receives the outcomes of the commits of a {@link RecordWriter}. */
public interface CommitListener {
  /** Called when the end of a job is durable. The job's attempts are stopped afterwards. */
  void onJobFinished(Job job);

  /**
   * Called when the content of a transaction is durable, so that commands that waited for it may be
   * sent.
   */
  void onTransactionApplied();

  /**
   * Called when another controller was elected in a higher term, so that this one must stop
   * leading.
   */
  void onHigherTerm(long term);
}
