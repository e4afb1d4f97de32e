package io.pearscale.scheduler.records;

import io.pearscale.scheduler.model.Job;

/** What the scheduler does when a {@link RecordWriter} has learned the outcome of a commit. */
public interface CommitListener {
  /** The end of the job is durable. Its attempts are stopped afterwards. */
  void onJobFinished(Job job);

  /** All that a transaction carried is durable: commands that waited for it may be sent. */
  void onTransactionApplied();

  /** Another controller was elected in a higher term, so this one must not lead any more. */
  void onHigherTerm(long term);
}
