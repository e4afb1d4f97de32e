package io.pearscale.scheduler.model;

import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.MachineType;
import io.pearscale.protocol.Settings.ServiceLevelObjective;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The service-level objectives of each job class, and statistics of the class's recent jobs. */
public final class JobClasses {
  private static final int RECENT_JOBS_KEPT = 40;

  /**
   * The time that a stop or a start takes in addition to the checkpoint and the image fetch:
   * message latency and processing time in the agent.
   */
  private static final Duration MESSAGING_OVERHEAD = Duration.ofSeconds(2);

  private final List<ServiceLevelObjective> objectives;
  private final Collection<MachineType> types;
  private final Map<String, Job> latestJobs = new HashMap<>();
  private final Map<String, ArrayDeque<Integer>> recentSizes = new HashMap<>();

  /**
   * Creates an instance without any jobs.
   *
   * @param types a live view of the known machine types
   */
  public JobClasses(List<ServiceLevelObjective> objectives, Collection<MachineType> types) {
    this.objectives = objectives;
    this.types = types;
  }

  /**
   * Returns the time within which tasks of the job's class are to start; the shortest if the class
   * has several such objectives.
   */
  public Optional<Duration> startObjective(JobSpec spec) {
    return objectives.stream()
        .filter(
            objective ->
                objective.kind().equals("wait") && objective.jobClass().equals(spec.jobClass()))
        .map(ServiceLevelObjective::target)
        .min(Comparator.naturalOrder());
  }

  /**
   * Returns whether capacity must be available before the job is submitted, because no machine
   * provisioned on submission would boot and fetch the image within the start objective. Batch jobs
   * with a start objective of one or two minutes need no headroom.
   */
  public boolean needsHeadroom(JobSpec spec) {
    Optional<Duration> objective = startObjective(spec);
    if (objective.isEmpty()) {
      return false;
    }
    return types.stream()
        .filter(spec::allowsInSomeZone)
        .map(
            type ->
                expectedBootTime(type)
                    .plus(type.fetchTime(spec.imageGb()))
                    .plus(MESSAGING_OVERHEAD))
        .noneMatch(startDelay -> startDelay.compareTo(objective.get()) <= 0);
  }

  /**
   * Returns the time within which most machines boot: up to 1.5 times the time in the catalogue.
   */
  private static Duration expectedBootTime(MachineType type) {
    return type.bootTime().multipliedBy(3).dividedBy(2);
  }

  /**
   * Returns whether a start on a machine of the type would miss its objective if it waited for the
   * victim's checkpoint.
   */
  public boolean isLateIfCheckpointed(JobSpec spec, JobSpec victim, MachineType type) {
    Duration startDelay =
        victim.checkpointDuration().plus(type.fetchTime(spec.imageGb())).plus(MESSAGING_OVERHEAD);
    return startObjective(spec)
        .filter(objective -> objective.compareTo(startDelay) < 0)
        .isPresent();
  }

  /**
   * Returns the task count of a large job of the class: the 90th percentile of recent batch jobs.
   */
  public int largeJobTasks(String jobClass) {
    int[] sorted = recentSizes.get(jobClass).stream().mapToInt(n -> n).sorted().toArray();
    return sorted.length == 0 ? 0 : sorted[sorted.length * 9 / 10];
  }

  /**
   * Returns whether job sizes of the class are known. They are if it has batch jobs and an
   * objective.
   */
  public boolean hasKnownSizes(String jobClass) {
    return recentSizes.containsKey(jobClass);
  }

  /** Returns a live view of the classes that have batch jobs and an objective. */
  public Set<String> classesWithKnownSizes() {
    return Collections.unmodifiableSet(recentSizes.keySet());
  }

  /** Returns the most recently observed job of the class. */
  public Optional<Job> latestJob(String jobClass) {
    return Optional.ofNullable(latestJobs.get(jobClass));
  }

  /** Returns the names of the classes that {@linkplain #needsHeadroom need headroom}, sorted. */
  public List<String> classesNeedingHeadroom() {
    return latestJobs.entrySet().stream()
        .filter(latest -> needsHeadroom(latest.getValue().spec()))
        .map(Map.Entry::getKey)
        .sorted()
        .toList();
  }

  /** Records a new job if its class has an objective. */
  public void observe(Job job) {
    JobSpec spec = job.spec();
    if (objectives.stream().noneMatch(objective -> objective.jobClass().equals(spec.jobClass()))) {
      return;
    }
    if (!spec.isService()) {
      ArrayDeque<Integer> recent =
          recentSizes.computeIfAbsent(spec.jobClass(), c -> new ArrayDeque<>());
      recent.add(spec.tasks());
      if (recent.size() > RECENT_JOBS_KEPT) {
        recent.poll();
      }
    }
    latestJobs.put(spec.jobClass(), job);
  }
}
