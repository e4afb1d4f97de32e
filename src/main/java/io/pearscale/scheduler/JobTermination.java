package io.pearscale.scheduler;

import io.pearscale.protocol.PeerMessage.LiveJobs;
import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.TaskAttempt;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Ends jobs that were cancelled, or are over as the key-value store shows, and stops their tasks.
 */
final class JobTermination {
  private final LeaderComponents components;

  JobTermination(LeaderComponents components) {
    this.components = components;
  }

  /** The job is cancelled and stays so, although the copy of the keys may not show it yet. */
  void jobCancelled(String jobId) {
    components.jobs.markCancelled(jobId);
    endJob(jobId);
  }

  /**
   * Ends the jobs that a peer does not name as live, of those that were submitted by the revision
   * of its list: its previous process may have acknowledged that they are cancelled.
   */
  void endAllBut(LiveJobs list) {
    Set<String> live = Set.copyOf(list.jobs());
    List.copyOf(components.jobs.all()).stream()
        .filter(job -> job.revision() <= list.storeRevision() && !live.contains(job.spec().id()))
        .forEach(job -> jobCancelled(job.spec().id()));
  }

  /** The job is over; does nothing if it is not known. */
  void endJob(String jobId) {
    Optional<Job> job = components.jobs.remove(jobId);
    if (job.isEmpty() || !components.leadership.isLeading()) {
      return;
    }
    components.records.closeJob(job.get());
    components.gangs.remove(job.get());
    for (TaskAttempt attempt : List.copyOf(job.get().attempts().values())) {
      // What a cancelled task has done is of no use to anybody: it saves no checkpoint, and one
      // that
      // saves already, for whatever reason it was stopped, ends.
      attempt.forbidCheckpoint();
      attempt.resetStopsSent();
      components.inventory.stop(attempt);
      components.inventory.markCommandDue(attempt.machine());
      components.dispatcher.sendDueCommands(attempt.machine());
    }
  }
}
