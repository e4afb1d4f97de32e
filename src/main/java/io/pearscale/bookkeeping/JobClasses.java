package io.pearscale.bookkeeping;

import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.Settings.Objective;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** What is expected of each class of jobs, and what its jobs were like lately. */
final class JobClasses {
  private static final int REMEMBERED = 40;

  private final List<Objective> objectives;
  private final Map<String, Job> samples = new HashMap<>();
  private final Map<String, ArrayDeque<Integer>> sizes = new HashMap<>();

  JobClasses(List<Objective> objectives) {
    this.objectives = objectives;
  }

  /** In which time tasks of the class are expected to start. */
  Optional<Duration> startWithin(JobSpec spec) {
    return objectives.stream()
        .filter(o -> o.kind().equals("wait") && o.jobClass().equals(spec.jobClass()))
        .map(Objective::within)
        .findFirst();
  }

  /** Whether the class is expected to start within a time that leaves none for others to save. */
  boolean startsAtOnce(JobSpec spec) {
    return startWithin(spec).isPresent();
  }

  /** Tasks of a large job of the class, as seen lately: nine of ten have no more. */
  int largeJob(String jobClass) {
    int[] sorted = sizes.get(jobClass).stream().mapToInt(n -> n).sorted().toArray();
    return sorted.length == 0 ? 0 : sorted[sorted.length * 9 / 10];
  }

  /** Whether sizes of its jobs are kept: it has batch jobs and a time to keep. */
  boolean sized(String jobClass) {
    return sizes.containsKey(jobClass);
  }

  /** The classes with batch jobs and a time to keep. */
  Set<String> sized() {
    return sizes.keySet();
  }

  /** A job of the class, if one was seen. */
  Optional<Job> sample(String jobClass) {
    return Optional.ofNullable(samples.get(jobClass));
  }

  /** The classes whose tasks are expected to start at once. */
  List<String> startingAtOnce() {
    return objectives.stream()
        .filter(o -> o.kind().equals("wait"))
        .map(Objective::jobClass)
        .toList();
  }

  /** Remembers what jobs of classes with a time to keep are like. */
  void note(Job job) {
    JobSpec spec = job.spec;
    if (objectives.stream().noneMatch(o -> o.jobClass().equals(spec.jobClass()))) {
      return;
    }
    if (!spec.service()) {
      ArrayDeque<Integer> last = sizes.computeIfAbsent(spec.jobClass(), c -> new ArrayDeque<>());
      last.add(spec.tasks());
      if (last.size() > REMEMBERED) {
        last.poll();
      }
    }
    samples.put(spec.jobClass(), job);
  }
}
