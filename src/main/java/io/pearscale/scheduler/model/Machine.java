package io.pearscale.scheduler.model;

import io.pearscale.protocol.MachineType;
import io.pearscale.protocol.Priority;
import io.pearscale.protocol.TaskId;
import io.pearscale.storage.MachineRecordCodec;
import io.pearscale.storage.Maintenance;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** A machine, as the leader sees it. */
public final class Machine {
  /** Where a machine stands between scale out and termination. */
  public enum Lifecycle {
    BOOTING,
    UP,
    /** To be given back; never used again, since a late deletion may still reach it. */
    RETIRING
  }

  /** An attempt that ended, until the worker has forgotten it. */
  public record AttemptId(TaskId task, long attempt) {
    @Override
    public boolean equals(Object other) {
      return other instanceof AttemptId that && attempt == that.attempt && task.equals(that.task);
    }

    @Override
    public int hashCode() {
      return 31 * task.hashCode() + Long.hashCode(attempt);
    }
  }

  private static final int MANY_FAILING_JOBS = 5;

  public final String name;
  public final String zone;
  public final boolean spot;

  /** As the catalogue has it; without any room until the catalogue is known. */
  public MachineType type;

  public Lifecycle lifecycle;
  public String address;
  public Instant provisionedAt;

  /** Its sessions, and until when anything in them can be alive. */
  public final IncarnationLease lease = new IncarnationLease();

  /** Highest token that a report has shown, and the one that we command with. */
  public long observedFencingToken;

  public long fencingToken;

  /** The token of the last answer to a report, and the controller through which it went. */
  public long lastResponseToken = -1;

  public String lastResponseController = "";

  /** Reports in a row that did not show what the one before was answered with. */
  public int unacknowledgedResponses;

  /**
   * A command with this token got no answer: it may yet be executed, until a higher one is seen.
   */
  public long unknownOutcomeToken = -1;

  /** Whether a report has shown a token of this term: from then on reports tell all. */
  public boolean reconciled;

  /** Nothing can be alive here: the lease ran out, and it has shown no sign of life since. */
  public boolean leaseExpired;

  /** Whether the roster durably names the machine, and as what. */
  public boolean recorded;

  public boolean recordedRetiring;

  /** By which marks name it in the layout by number; 0 while it has none. */
  public int recordNumber;

  /** What the roster has as the machine's address. */
  public String recordedAddress = "";

  /** Whether a drain will come to it: what is placed there would soon be moved again. */
  public boolean drainPlanned;

  public boolean deletionSent;

  /** Whether it is in maintenance, and what of that is durably recorded. */
  public Maintenance maintenance = Maintenance.IN_SERVICE;

  public Maintenance recordedMaintenance = Maintenance.IN_SERVICE;
  public Instant lastReachableAt = Instant.MIN;

  /** When it first answered a command since its last report; only reports renew its lease. */
  public Optional<Instant> answersWithoutHeartbeatSince = Optional.empty();

  public boolean heartbeatEverReceived;
  public boolean commandInFlight;

  /** Probes without an answer since it was last heard. */
  public int missedProbes;

  public Instant directCommandsAfter = Instant.MIN;
  public Optional<Instant> preemptionNoticeAt = Optional.empty();
  public boolean quarantined;

  /** Jobs whose tasks failed here since one last was done here, and how often. */
  private final Map<Job, Integer> failuresByJob = new HashMap<>();

  public Instant avoidUntil = Instant.MIN;

  /** Since when the machine can be spared; far in the future when it can't. */
  public Instant scaleInCandidateSince = Instant.MAX;

  public boolean listedByCloud;
  public Instant listedSince = Instant.MIN;

  public final Map<TaskId, TaskAttempt> attempts = new LinkedHashMap<>();
  private Resources[] availableByPriority;

  /** Attempts that ended, each with a token that no start command for it was above. */
  public final Map<AttemptId, Long> endedAttempts = new HashMap<>();

  public final Map<AttemptId, Instant> unknownAttempts = new HashMap<>();

  /** Images used here, the latest last, with their sizes. */
  public final LinkedHashMap<String, Double> cachedImages = new LinkedHashMap<>(8, 0.75f, true);

  /** Creates a machine that has sent no heartbeat yet. */
  public Machine(
      String name, String zone, boolean spot, MachineType type, Lifecycle life, Instant now) {
    this.name = name;
    this.zone = zone;
    this.spot = spot;
    this.type = type;
    this.lifecycle = life;
    this.provisionedAt = now;
    this.address = "";
  }

  /** What the roster is to say of the machine, with the number by which marks name it. */
  public MachineRecordCodec.MachineRecord machineRecord(int numberInRecords) {
    return new MachineRecordCodec.MachineRecord(
        numberInRecords,
        name,
        address,
        type.name(),
        zone,
        spot,
        lease.incarnation(),
        lifecycle == Lifecycle.RETIRING,
        maintenance);
  }

  /** A task failed here. */
  public void recordFailure(Job job) {
    failuresByJob.merge(job, 1, Integer::sum);
  }

  /** A task was done here: what failed before did not fail for the machine. */
  public void recordSuccess() {
    failuresByJob.clear();
  }

  /** How often tasks failed here that did not fail for their own job. */
  public int failureCount() {
    int count = 0;
    for (Map.Entry<Job, Integer> failure : failuresByJob.entrySet()) {
      count += failure.getKey().failsEverywhere() ? 0 : failure.getValue();
    }
    return count;
  }

  /**
   * Whether what failed here points at the machine: twice a job that runs elsewhere, or two jobs of
   * which it is not known that they fail everywhere. Of those that do, it takes many at once.
   */
  public boolean failuresPointToMachine() {
    int failuresOfSucceedingJobs = 0;
    int suspectJobs = 0;
    for (Map.Entry<Job, Integer> failure : failuresByJob.entrySet()) {
      failuresOfSucceedingJobs += failure.getKey().hasSucceeded() ? failure.getValue() : 0;
      suspectJobs += failure.getKey().failsEverywhere() ? 0 : 1;
    }
    return failuresOfSucceedingJobs >= 2
        || suspectJobs >= 2
        || failuresByJob.size() >= MANY_FAILING_JOBS;
  }

  /** Records that a task used an image here, which may evict the least recently used ones. */
  public void recordImageUse(String image, double sizeGb) {
    cachedImages.put(image, sizeGb);
    double totalGb = 0;
    for (double cachedGb : cachedImages.values()) {
      totalGb += cachedGb;
    }
    var iterator = cachedImages.entrySet().iterator();
    while (totalGb > type.imageCacheGb() && iterator.hasNext()) {
      var oldest = iterator.next();
      if (oldest.getKey().equals(image)) {
        break;
      }
      totalGb -= oldest.getValue();
      iterator.remove();
    }
  }

  /** How many images beside that one are fetched, or are to be, for tasks that are placed here. */
  public int otherImageFetches(String image) {
    Set<String> others = new HashSet<>();
    for (TaskAttempt attempt : attempts.values()) {
      String other = attempt.job.spec.image();
      boolean fetches = attempt.stage.compareTo(TaskAttempt.Stage.FETCHING) <= 0;
      if (fetches && !other.equals(image) && !cachedImages.containsKey(other)) {
        others.add(other);
      }
    }
    return others.size();
  }

  /** Adds an attempt that may be on this machine from now on. */
  public void add(TaskAttempt attempt) {
    attempts.put(attempt.task, attempt);
    invalidateAvailable();
  }

  void remove(TaskAttempt attempt) {
    attempts.remove(attempt.task, attempt);
    invalidateAvailable();
  }

  /** To be called when what is placed here, or is to stay here, has changed. */
  void invalidateAvailable() {
    availableByPriority = null;
  }

  /** What is left, when everything decided has come to pass; the caller may change it. */
  public Resources available() {
    return availableAbove(Priority.IDLE).copy();
  }

  /**
   * What would be left if all below the priority were evicted. Kept from one question to the next,
   * since every pass asks every machine and most have not changed. Not to be changed.
   */
  public Resources availableAbove(Priority priority) {
    if (availableByPriority == null) {
      availableByPriority = new Resources[Priority.values().length];
      for (Priority floor : Priority.values()) {
        Resources available = new Resources(type.cpus(), type.gpus(), type.memoryGb());
        for (TaskAttempt attempt : attempts.values()) {
          if (!attempt.stopping && attempt.job.spec.priority().compareTo(floor) >= 0) {
            available.subtract(attempt.job);
          }
        }
        availableByPriority[floor.ordinal()] = available;
      }
    }
    return availableByPriority[priority.ordinal()];
  }

  /** What is left now, counting all that may be on the machine. */
  public Resources physicallyAvailable() {
    Resources available = new Resources(type.cpus(), type.gpus(), type.memoryGb());
    for (TaskAttempt attempt : attempts.values()) {
      if (attempt.stage != TaskAttempt.Stage.PLANNED) {
        available.subtract(attempt.job);
      }
    }
    return available;
  }

  /** How many more tasks like these the machine could take, evicting lower ones if need be. */
  public int capacityWithEviction(Job like) {
    return availableAbove(like.spec.priority()).countFitting(like);
  }

  /** Tasks of services here. */
  public int replicaCount() {
    int count = 0;
    for (TaskAttempt attempt : attempts.values()) {
      if (attempt.job.spec.isService()) {
        count++;
      }
    }
    return count;
  }

  /** From when the machine has seen the next token, no command with an older one is executed. */
  public void incrementFencingToken() {
    fencingToken++;
  }

  /** Returns whether a command without an answer may still be executed. */
  public boolean commandOutcomeUnknown() {
    return unknownOutcomeToken >= observedFencingToken;
  }

  /** Room in all resources. */
  public static final class Resources {
    public static final double TOLERANCE = 1e-6;
    public double cpus;
    public double gpus;
    public double memoryGb;

    /** Creates an amount of resources: cores, devices and gigabytes. */
    public Resources(double cpus, double gpus, double memoryGb) {
      this.cpus = cpus;
      this.gpus = gpus;
      this.memoryGb = memoryGb;
    }

    /** All that a machine of the type has. */
    public static Resources of(MachineType type) {
      return new Resources(type.cpus(), type.gpus(), type.memoryGb());
    }

    /** Returns an independent copy. */
    public Resources copy() {
      return new Resources(cpus, gpus, memoryGb);
    }

    /** Takes away what one task of the job needs. */
    public void subtract(Job job) {
      cpus -= job.spec.cpus();
      gpus -= job.spec.gpus();
      memoryGb -= job.spec.memoryGb();
    }

    /** Adds what one task of the job needs. */
    public void add(Job job) {
      cpus += job.spec.cpus();
      gpus += job.spec.gpus();
      memoryGb += job.spec.memoryGb();
    }

    /** Returns whether one task of the job fits. */
    public boolean fits(Job job) {
      return cpus + TOLERANCE >= job.spec.cpus()
          && gpus + TOLERANCE >= job.spec.gpus()
          && memoryGb + TOLERANCE >= job.spec.memoryGb();
    }

    /** How many tasks like these fit. */
    public int countFitting(Job job) {
      double count = 100_000;
      if (job.spec.cpus() > 0) {
        count = Math.min(count, (cpus + TOLERANCE) / job.spec.cpus());
      }
      if (job.spec.gpus() > 0) {
        count = Math.min(count, (gpus + TOLERANCE) / job.spec.gpus());
      }
      if (job.spec.memoryGb() > 0) {
        count = Math.min(count, (memoryGb + TOLERANCE) / job.spec.memoryGb());
      }
      return (int) Math.max(0, count);
    }
  }
}
