package io.pearscale.api;

import io.pearscale.protocol.PeerMessage.JobTaskCount;
import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.JobTable;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Publishes the numbers of completed and running tasks of each job, so that all controllers can
 * show them to users.
 */
public final class TaskCountPublisher {
  /** The number of finished jobs whose counts may be kept in addition to those of live jobs. */
  private static final int MAX_FINISHED_JOB_COUNTS = 1000;

  private final JobTable jobs;
  private final Consumer<List<JobTaskCount>> listener;
  private final Map<String, JobTaskCount> lastPublished = new HashMap<>();

  /** Creates a publisher that passes changed counts to the listener. */
  public TaskCountPublisher(JobTable jobs, Consumer<List<JobTaskCount>> listener) {
    this.jobs = jobs;
    this.listener = listener;
  }

  /** Clears the published counts, so that all counts are published again. */
  public void clear() {
    lastPublished.clear();
  }

  /** Publishes the counts that have changed since the previous call. */
  public void publishChanges() {
    List<JobTaskCount> changed = new ArrayList<>();
    for (Job job : jobs.all()) {
      int done = job.doneCount();
      int running = job.runningTasks();
      JobTaskCount previous = lastPublished.get(job.spec().id());
      if (previous == null || previous.done() != done || previous.running() != running) {
        JobTaskCount count = new JobTaskCount(job.spec().id(), done, running);
        lastPublished.put(job.spec().id(), count);
        changed.add(count);
      }
    }
    if (lastPublished.size() > jobs.size() + MAX_FINISHED_JOB_COUNTS) {
      lastPublished.keySet().removeIf(id -> !jobs.isLive(id));
    }
    if (!changed.isEmpty()) {
      listener.accept(changed);
    }
  }
}
