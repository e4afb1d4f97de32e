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

/** The service-level objectives of each class of jobs, and what its jobs were like lately. */
public final class JobClasses {
  private static final int RECENT_JOBS_KEPT = 40;

  /**
   * What a stop or a start takes beside the checkpoint and the fetch: messages and the agent's own
   * time.
   */
  private static final Duration MESSAGING_OVERHEAD = Duration.ofSeconds(2);

  private final List<ServiceLevelObjective> objectives;
  private final Collection<MachineType> types;
  private final Map<String, Job> latestJobs = new HashMap<>();
  private final Map<String, ArrayDeque<Integer>> recentSizes = new HashMap<>();

  /**
   * Knows the objectives, and no jobs yet.
   *
   * @param types the machine types as they are known at any time
   */
  public JobClasses(List<ServiceLevelObjective> objectives, Collection<MachineType> types) {
    this.objectives = objectives;
    this.types = types;
  }

  /** In which time tasks of the class are to start; the shortest, if there are several. */
  public Optional<Duration> startObjective(JobSpec spec) {
    return objectives.stream()
        .filter(
            objective ->
                objective.kind().equals("wait") && objective.jobClass().equals(spec.jobClass()))
        .map(ServiceLevelObjective::target)
        .min(Comparator.naturalOrder());
  }

  /**
   * Whether capacity has to be free before the job comes: no machine that is provisioned when it
   * comes would be up, with its image, in the time that its tasks have to start. Batch work that
   * has a minute or two needs none.
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

  /** How long most machines take to boot: up to half as long again as the catalogue says. */
  private static Duration expectedBootTime(MachineType type) {
    return type.bootTime().multipliedBy(3).dividedBy(2);
  }

  /**
   * Whether a start on a machine of the type would be late if it waited for the checkpoint of the
   * victim.
   */
  public boolean isLateIfCheckpointed(JobSpec spec, JobSpec victim, MachineType type) {
    Duration startDelay =
        victim.checkpointDuration().plus(type.fetchTime(spec.imageGb())).plus(MESSAGING_OVERHEAD);
    return startObjective(spec)
        .filter(objective -> objective.compareTo(startDelay) < 0)
        .isPresent();
  }

  /** Tasks of a large job of the class, as seen lately: nine of ten have no more. */
  public int largeJobTasks(String jobClass) {
    int[] sorted = recentSizes.get(jobClass).stream().mapToInt(n -> n).sorted().toArray();
    return sorted.length == 0 ? 0 : sorted[sorted.length * 9 / 10];
  }

  /** Whether sizes of its jobs are known: it has batch jobs and an objective. */
  public boolean hasKnownSizes(String jobClass) {
    return recentSizes.containsKey(jobClass);
  }

  /** The classes with batch jobs and an objective; a live view. */
  public Set<String> classesWithKnownSizes() {
    return Collections.unmodifiableSet(recentSizes.keySet());
  }

  /** The job of the class that was seen last. */
  public Optional<Job> latestJob(String jobClass) {
    return Optional.ofNullable(latestJobs.get(jobClass));
  }

  /** The classes whose tasks {@linkplain #needsHeadroom need headroom}, by name. */
  public List<String> classesNeedingHeadroom() {
    return latestJobs.entrySet().stream()
        .filter(latest -> needsHeadroom(latest.getValue().spec()))
        .map(Map.Entry::getKey)
        .sorted()
        .toList();
  }

  /** A job has come; it is remembered if its class has an objective. */
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
