package io.pearscale.scheduler;

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
final class JobTable {
  private static final Logger LOG = LoggerFactory.getLogger(JobTable.class);

  private final Map<String, Team> teams;
  private final Leadership leadership;
  private final InstantSource clock;
  private final InstantSource timeOfDay;
  private final LevelGate level;
  private final Consumer<Job> added;
  private final Runnable requestPass;
  private final Map<String, Job> jobs = new LinkedHashMap<>();
  private final Collection<Job> all = Collections.unmodifiableCollection(jobs.values());
  private final CancelledJobs cancelled = new CancelledJobs();
  private final Set<String> unreadableKeys = new HashSet<>();
  private final Set<Job> waiting = new LinkedHashSet<>();
  private final Set<Job> gangs = new LinkedHashSet<>();
  private final Collection<Job> waitingView = Collections.unmodifiableCollection(waiting);

  /**
   * Makes an empty table.
   *
   * @param timeOfDay on it, submissions carry their time
   * @param level says which features this build has
   * @param added is told of each new job
   * @param requestPass asks for a pass over the jobs that wait
   */
  JobTable(
      Map<String, Team> teams,
      Leadership leadership,
      InstantSource clock,
      InstantSource timeOfDay,
      LevelGate level,
      Consumer<Job> added,
      Runnable requestPass) {
    this.teams = teams;
    this.leadership = leadership;
    this.clock = clock;
    this.timeOfDay = timeOfDay;
    this.level = level;
    this.added = added;
    this.requestPass = requestPass;
  }

  /** The job of that id; null when it is over or was never there. */
  Job get(String id) {
    return jobs.get(id);
  }

  /** Whether the job is not over. */
  boolean isLive(String id) {
    return jobs.containsKey(id);
  }

  /** Whether the table still has this very job. */
  boolean contains(Job job) {
    return jobs.get(job.spec.id()) == job;
  }

  Collection<Job> all() {
    return all;
  }

  int size() {
    return jobs.size();
  }

  /** The gang jobs among them. */
  Collection<Job> gangs() {
    return List.copyOf(gangs);
  }

  /** Takes a stored job in; one that can't be read is remembered as such, not as absent. */
  void add(String key, Entry entry) {
    try {
      JobSpec spec = JobSpec.parse(entry.value().path("spec"));
      if (spec.isGang() && !level.supports(Feature.GANG_JOBS)) {
        throw new MalformedMessageException("a gang job, which this build must not serve");
      }
      if (jobs.containsKey(spec.id()) || cancelled.contains(spec.id())) {
        return;
      }
      Instant submitted = Instant.ofEpochMilli(entry.value().path("at").asLong());
      Duration age = Duration.between(submitted, timeOfDay.instant());
      Team team = teams.get(spec.team());
      boolean limited = team != null && team.hasQuotaLimit();
      Instant since = clock.instant().minus(age.isNegative() ? Duration.ZERO : age);
      Job job = new Job(spec, entry.revision(), since, limited);
      jobs.put(spec.id(), job);
      if (spec.isGang()) {
        gangs.add(job);
      }
      added.accept(job);
      requeue(job);
    } catch (MalformedMessageException e) {
      LOG.error("event=stored_job_unreadable key={} reason={}", key, e.getMessage());
      unreadableKeys.add(key);
    }
  }

  /** The key of a job was removed; what could not be read there is no obstacle any more. */
  void forgetUnreadable(String key) {
    unreadableKeys.remove(key);
  }

  /** All keys are about to be read anew. */
  void forgetUnreadable() {
    unreadableKeys.clear();
  }

  /** The key of a job that can't be read, if there is one. */
  Optional<String> unreadableKey() {
    return unreadableKeys.stream().findFirst();
  }

  /** The job is over. */
  Optional<Job> remove(String id) {
    Optional<Job> job = Optional.ofNullable(jobs.remove(id));
    job.ifPresent(waiting::remove);
    job.ifPresent(gangs::remove);
    return job;
  }

  /** The job is over although the copy of the keys may not show it yet. */
  void noteCancelled(String id) {
    cancelled.note(id, clock.instant());
  }

  /** The copy of the keys has all changes that were made before that time. */
  void copyIsAsNewAs(Instant asOf) {
    cancelled.copyIsAsNewAs(asOf);
  }

  /** Jobs that are not among the keys. */
  List<String> missingIn(Set<String> keys) {
    List<String> missing = new ArrayList<>();
    for (String id : jobs.keySet()) {
      if (!keys.contains(Keys.liveJob(id))) {
        missing.add(id);
      }
    }
    return missing;
  }

  /** Jobs with tasks that wait for a machine: a pass looks at these alone. */
  Collection<Job> waiting() {
    return waitingView;
  }

  /** Keeps the jobs that wait true after a job's tasks changed. */
  void requeue(Job job) {
    if (leadership.ready() && contains(job) && job.pending() > 0) {
      waiting.add(job);
      requestPass.run();
    } else {
      waiting.remove(job);
    }
  }

  /** Nothing waits any more, since this controller does not lead. */
  void clearWaiting() {
    waiting.clear();
  }

  /** Forgets of all jobs what only a leader knows. */
  void forgetPlacements() {
    jobs.values().forEach(Job::forget);
  }
}
