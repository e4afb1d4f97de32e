package io.pearscale.scheduler.model;

import io.pearscale.protocol.MachineType;
import io.pearscale.protocol.Priority;
import io.pearscale.protocol.TaskId;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The attempts that may be on one machine, in the order in which they were decided, and what they
 * leave of its resources.
 *
 * <p>Owned by its {@link Machine}; attempts come and go through the {@link MachineInventory} alone.
 */
public final class HostedAttempts {
  private final Map<TaskId, TaskAttempt> attempts = new LinkedHashMap<>();
  private final Collection<TaskAttempt> values =
      Collections.unmodifiableCollection(attempts.values());
  private MachineType type;
  private Resources[] availableByPreemptor;

  HostedAttempts(MachineType type) {
    this.type = type;
  }

  /** All of them. */
  public Collection<TaskAttempt> values() {
    return values;
  }

  /** The attempt of that task; null if none is here. */
  public TaskAttempt get(TaskId task) {
    return attempts.get(task);
  }

  /** Whether there is none. */
  public boolean isEmpty() {
    return attempts.isEmpty();
  }

  /** How many there are. */
  public int size() {
    return attempts.size();
  }

  void add(TaskAttempt attempt) {
    attempts.put(attempt.task(), attempt);
    invalidateAvailable();
  }

  void remove(TaskAttempt attempt) {
    attempts.remove(attempt.task(), attempt);
    invalidateAvailable();
  }

  /** The machine's type is known better. */
  void updateType(MachineType newType) {
    type = newType;
    invalidateAvailable();
  }

  /** What is here, or is to stay here, has changed. */
  void invalidateAvailable() {
    availableByPreemptor = null;
  }

  /** How many of them are of the job. */
  public int countOf(Job job) {
    int count = 0;
    for (TaskAttempt attempt : attempts.values()) {
      if (attempt.job() == job) {
        count++;
      }
    }
    return count;
  }

  /** How many of them are of services. */
  public int replicaCount() {
    int count = 0;
    for (TaskAttempt attempt : attempts.values()) {
      if (attempt.spec().isService()) {
        count++;
      }
    }
    return count;
  }

  /** How many images beside that one are fetched, or are to be, for attempts that are here. */
  int otherImageFetches(String image, ImageCache cached) {
    Set<String> others = new HashSet<>();
    for (TaskAttempt attempt : attempts.values()) {
      String other = attempt.spec().image();
      boolean fetches = attempt.stage().compareTo(TaskAttempt.Stage.FETCHING) <= 0;
      if (fetches && !other.equals(image) && !cached.contains(other)) {
        others.add(other);
      }
    }
    return others.size();
  }

  /** See {@link Machine#availableWithPreemption}. */
  Resources availableWithPreemption(Priority priority) {
    if (availableByPreemptor == null) {
      availableByPreemptor = new Resources[Priority.values().length];
      for (Priority preemptor : Priority.values()) {
        availableByPreemptor[preemptor.ordinal()] = computeAvailableWithPreemption(preemptor);
      }
    }
    return availableByPreemptor[priority.ordinal()];
  }

  private Resources computeAvailableWithPreemption(Priority preemptor) {
    Resources available = Resources.of(type);
    for (TaskAttempt attempt : attempts.values()) {
      if (!attempt.stopping() && attempt.spec().priority().compareTo(preemptor) >= 0) {
        available.subtract(attempt.spec());
      }
    }
    return available;
  }

  /** See {@link Machine#physicallyAvailable}. */
  Resources physicallyAvailable() {
    Resources available = Resources.of(type);
    for (TaskAttempt attempt : attempts.values()) {
      if (attempt.stage() != TaskAttempt.Stage.PLANNED) {
        available.subtract(attempt.spec());
      }
    }
    return available;
  }
}
