package io.pearscale.scheduler;

import io.pearscale.protocol.PeerMessage.LiveJobs;
import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.TaskAttempt;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Ends jobs that were cancelled, or that have ended according to the key-value store, and stops
 * their tasks.
 */
final class JobTermination {
  private final LeaderComponents components;

  JobTermination(LeaderComponents components) {
    this.components = components;
  }

  /**
   * Marks the job as cancelled and ends it, even if the replica of the stored keys does not show
   * the cancellation yet.
   */
  void jobCancelled(String jobId) {
    components.jobs.markCancelled(jobId);
    endJob(jobId);
  }

  /**
   * Ends the jobs that were submitted up to the revision of a peer's list of live jobs but are
   * missing from it. The peer's previous process may have acknowledged their cancellation.
   */
  void endJobsMissingFrom(LiveJobs liveJobs) {
    Set<String> liveJobIds = Set.copyOf(liveJobs.jobs());
    List.copyOf(components.jobs.all()).stream()
        .filter(
            job ->
                job.revision() <= liveJobs.storeRevision() && !liveJobIds.contains(job.spec().id()))
        .forEach(job -> jobCancelled(job.spec().id()));
  }

  /** Ends the job and stops its tasks; does nothing if the job is unknown. */
  void endJob(String jobId) {
    Optional<Job> job = components.jobs.remove(jobId);
    if (job.isEmpty() || !components.leadership.isLeading()) {
      return;
    }
    components.records.closeJob(job.get());
    components.gangs.remove(job.get());
    for (TaskAttempt attempt : List.copyOf(job.get().attempts().values())) {
      // The results of a cancelled task are not needed. It saves no checkpoint, and a task that is
      // already saving one ends, regardless of the reason for its stop.
      attempt.forbidCheckpoint();
      attempt.resetStopsSent();
      components.inventory.stop(attempt);
      components.inventory.markCommandDue(attempt.machine());
      components.dispatcher.sendDueCommands(attempt.machine());
    }
  }
}
