package io.pearscale.scheduler.model;

import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.protocol.Settings.Team;
import io.pearscale.storage.Keys;
import io.pearscale.storage.StoreReplicaActor.Entry;
import io.pearscale.upgrade.Feature;
import io.pearscale.upgrade.LevelGate;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The live jobs according to the replica of the stored keys, and those among them with pending
 * tasks. A cancelled job is never added again, because cancellation is final even if a late change
 * or an older copy of the keys still contains the job.
 */
public final class JobTable {
  private static final Logger LOG = LoggerFactory.getLogger(JobTable.class);

  private final Map<String, Team> teams;
  private final Leadership leadership;
  private final InstantSource clock;
  private final InstantSource wallClock;
  private final LevelGate levelGate;
  private final Consumer<Job> jobAdded;
  private final Runnable requestPass;
  private final Map<String, Job> jobs = new LinkedHashMap<>();
  private final Collection<Job> jobsView = Collections.unmodifiableCollection(jobs.values());
  private final CancelledJobs cancelled = new CancelledJobs();
  private final Set<String> unreadableKeys = new HashSet<>();
  private final Set<Job> queued = new LinkedHashSet<>();
  private final Set<Job> gangs = new LinkedHashSet<>();
  private final Collection<Job> queuedView = Collections.unmodifiableCollection(queued);

  /**
   * Creates an empty table.
   *
   * @param wallClock the clock of the submission times in stored jobs
   * @param levelGate reports which features this build supports
   * @param jobAdded receives each new job
   * @param requestPass requests a scheduling pass
   */
  public JobTable(
      Map<String, Team> teams,
      Leadership leadership,
      InstantSource clock,
      InstantSource wallClock,
      LevelGate levelGate,
      Consumer<Job> jobAdded,
      Runnable requestPass) {
    this.teams = teams;
    this.leadership = leadership;
    this.clock = clock;
    this.wallClock = wallClock;
    this.levelGate = levelGate;
    this.jobAdded = jobAdded;
    this.requestPass = requestPass;
  }

  /** Returns the live job with the given ID, or null if there is none. */
  public Job get(String id) {
    return jobs.get(id);
  }

  /** Returns whether the job is live. */
  public boolean isLive(String id) {
    return jobs.containsKey(id);
  }

  /** Returns whether the table contains this job instance. */
  public boolean contains(Job job) {
    return jobs.get(job.spec().id()) == job;
  }

  /** Returns a live view of all live jobs in the order in which they were added. */
  public Collection<Job> all() {
    return jobsView;
  }

  /** Returns the number of live jobs. */
  public int size() {
    return jobs.size();
  }

  /** Returns a copy of the live gang jobs. */
  public Collection<Job> gangs() {
    return List.copyOf(gangs);
  }

  /**
   * Adds a stored job. If the job can't be read, its key is recorded as unreadable, so that the job
   * is not treated as absent.
   */
  public void add(String key, Entry entry) {
    try {
      JobSpec spec = JobSpec.parse(entry.value().path("spec"));
      if (spec.isGang() && !levelGate.supports(Feature.GANG_JOBS)) {
        throw new MalformedMessageException(
            "the job is a gang job, and this build does not support gang jobs");
      }
      if (jobs.containsKey(spec.id()) || cancelled.contains(spec.id())) {
        return;
      }
      Instant submittedWallTime = Instant.ofEpochMilli(entry.value().path("at").asLong());
      Duration age = Duration.between(submittedWallTime, wallClock.instant());
      Team team = teams.get(spec.team());
      boolean quotaLimited = team != null && team.hasQuotaLimit();
      Instant submittedAt = clock.instant().minus(age.isNegative() ? Duration.ZERO : age);
      Job job = new Job(spec, entry.revision(), submittedAt, quotaLimited);
      jobs.put(spec.id(), job);
      if (spec.isGang()) {
        gangs.add(job);
      }
      jobAdded.accept(job);
      requeue(job);
    } catch (MalformedMessageException e) {
      LOG.error("event=stored_job_unreadable key={} reason={}", key, e.getMessage());
      unreadableKeys.add(key);
    }
  }

  /** Records that a job's key was removed, so that it no longer counts as unreadable. */
  public void clearUnreadable(String key) {
    unreadableKeys.remove(key);
  }

  /** Clears the unreadable keys before all keys are read again. */
  public void clearUnreadable() {
    unreadableKeys.clear();
  }

  /** Returns the key of a job that can't be read, or empty if there is none. */
  public Optional<String> unreadableKey() {
    return unreadableKeys.stream().findFirst();
  }

  /** Removes a job that has ended; returns it, or empty if it was not in the table. */
  public Optional<Job> remove(String id) {
    Optional<Job> job = Optional.ofNullable(jobs.remove(id));
    job.ifPresent(queued::remove);
    job.ifPresent(gangs::remove);
    return job;
  }

  /** Records that the job is cancelled although the replica of the keys may still contain it. */
  public void markCancelled(String id) {
    cancelled.add(id, clock.instant());
  }

  /**
   * Drops cancellations recorded before the given time; the replica contains all changes made
   * before then.
   */
  public void replicaCaughtUpTo(Instant replicaTime) {
    cancelled.replicaCaughtUpTo(replicaTime);
  }

  /** Returns the IDs of live jobs whose keys are not in the given set. */
  public List<String> idsWithoutKey(Set<String> keys) {
    List<String> absent = new ArrayList<>();
    for (String id : jobs.keySet()) {
      if (!keys.contains(Keys.liveJob(id))) {
        absent.add(id);
      }
    }
    return absent;
  }

  /**
   * Returns a live view of the jobs with pending tasks, the only ones that a scheduling pass
   * considers.
   */
  public Collection<Job> queued() {
    return queuedView;
  }

  /** Adds the job to the queue, or removes it, after a change to its pending tasks. */
  public void requeue(Job job) {
    if (leadership.isReady() && contains(job) && job.pendingTasks() > 0) {
      queued.add(job);
      requestPass.run();
    } else {
      queued.remove(job);
    }
  }

  /** Clears the queue when this controller no longer leads. */
  public void clearQueue() {
    queued.clear();
  }

  /** Clears the state of all jobs that only a leader maintains. */
  public void clearLeaderState() {
    jobs.values().forEach(Job::clearLeaderState);
  }
}
