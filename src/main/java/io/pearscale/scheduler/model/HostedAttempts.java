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
 * The attempts that may be on one machine, in the order in which they were planned, and the
 * resources that they leave available.
 *
 * <p>Owned by its {@link Machine}; only the {@link MachineInventory} adds and removes attempts.
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

  /** Returns a live view of all attempts. */
  public Collection<TaskAttempt> values() {
    return values;
  }

  /** Returns the attempt of the task, or null if none may be on this machine. */
  public TaskAttempt get(TaskId task) {
    return attempts.get(task);
  }

  /** Returns whether no attempt may be on this machine. */
  public boolean isEmpty() {
    return attempts.isEmpty();
  }

  /** Returns the number of attempts. */
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

  /** Sets the machine's type, for which more accurate data are known. */
  void updateType(MachineType newType) {
    type = newType;
    invalidateAvailable();
  }

  /** Discards the cached resources after a change to the attempts or to their stop requests. */
  void invalidateAvailable() {
    availableByPreemptor = null;
  }

  /** Returns how many of the attempts belong to the job. */
  public int countOf(Job job) {
    int count = 0;
    for (TaskAttempt attempt : attempts.values()) {
      if (attempt.job() == job) {
        count++;
      }
    }
    return count;
  }

  /** Returns how many of the attempts belong to services. */
  public int replicaCount() {
    int count = 0;
    for (TaskAttempt attempt : attempts.values()) {
      if (attempt.spec().isService()) {
        count++;
      }
    }
    return count;
  }

  /**
   * Returns how many images other than the given one are being, or will be, fetched for attempts on
   * this machine.
   */
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

  /** Implements {@link Machine#availableWithPreemption}. */
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

  /** Implements {@link Machine#physicallyAvailable}. */
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
