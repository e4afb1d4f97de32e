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
 * The jobs that are not over, as the replica of the stored keys has them, and which of them have
 * tasks that wait for a machine. A job that was cancelled never comes back: an end is final, even
 * where a late change or an older copy of the keys still shows the job.
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
   * Makes an empty table.
   *
   * @param wallClock on it, submissions carry their time
   * @param levelGate says which features this build has
   * @param jobAdded receives each new job
   * @param requestPass asks for a pass over the jobs that wait
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

  /** The job of that id; null when it is over or never was. */
  public Job get(String id) {
    return jobs.get(id);
  }

  /** Whether the job is not over. */
  public boolean isLive(String id) {
    return jobs.containsKey(id);
  }

  /** Whether the table still has this very job. */
  public boolean contains(Job job) {
    return jobs.get(job.spec().id()) == job;
  }

  /** Returns all jobs that are not over. */
  /** All of them, in the order in which they were added; a live view. */
  public Collection<Job> all() {
    return jobsView;
  }

  /** Returns how many jobs are not over. */
  /** How many there are. */
  public int size() {
    return jobs.size();
  }

  /** The gang jobs among them. */
  public Collection<Job> gangs() {
    return List.copyOf(gangs);
  }

  /** Takes a stored job in; one that can't be read is remembered as such, not as absent. */
  public void add(String key, Entry entry) {
    try {
      JobSpec spec = JobSpec.parse(entry.value().path("spec"));
      if (spec.isGang() && !levelGate.supports(Feature.GANG_JOBS)) {
        throw new MalformedMessageException("a gang job, which this build must not serve");
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

  /** The key of a job was removed; what could not be read there is no obstacle any more. */
  public void forgetUnreadable(String key) {
    unreadableKeys.remove(key);
  }

  /** All keys are about to be read anew. */
  public void forgetUnreadable() {
    unreadableKeys.clear();
  }

  /** The key of a job that can't be read, if there is one. */
  public Optional<String> unreadableKey() {
    return unreadableKeys.stream().findFirst();
  }

  /** The job is over. */
  public Optional<Job> remove(String id) {
    Optional<Job> job = Optional.ofNullable(jobs.remove(id));
    job.ifPresent(queued::remove);
    job.ifPresent(gangs::remove);
    return job;
  }

  /** The job is over although the replica of the keys may not show it yet. */
  public void markCancelled(String id) {
    cancelled.add(id, clock.instant());
  }

  /** The replica of the keys has all changes that were made before that time. */
  public void replicaCaughtUpTo(Instant replicaTime) {
    cancelled.replicaCaughtUpTo(replicaTime);
  }

  /** The ids of jobs whose keys are not among these. */
  public List<String> idsWithoutKey(Set<String> keys) {
    List<String> absent = new ArrayList<>();
    for (String id : jobs.keySet()) {
      if (!keys.contains(Keys.liveJob(id))) {
        absent.add(id);
      }
    }
    return absent;
  }

  /** Jobs with pending tasks: a scheduling pass looks at these alone. A live view. */
  public Collection<Job> queued() {
    return queuedView;
  }

  /** Queues the job, or takes it out of the queue, after its pending tasks have changed. */
  public void requeue(Job job) {
    if (leadership.isReady() && contains(job) && job.pendingTasks() > 0) {
      queued.add(job);
      requestPass.run();
    } else {
      queued.remove(job);
    }
  }

  /** Empties the queue, since this controller does not lead any more. */
  public void clearQueue() {
    queued.clear();
  }

  /** Forgets of all jobs what only a leader knows. */
  public void clearLeaderState() {
    jobs.values().forEach(Job::clearLeaderState);
  }
}
