package io.pearscale.scheduler;

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
final class Machine {
  enum Life {
    BOOTING,
    UP,
    /** To be given back; never used again, since a late deletion may still reach it. */
    RETIRING
  }

  /** An attempt that ended, until the worker has forgotten it. */
  record Ended(TaskId task, long attempt) {
    @Override
    public boolean equals(Object other) {
      return other instanceof Ended o && attempt == o.attempt && task.equals(o.task);
    }

    @Override
    public int hashCode() {
      return 31 * task.hashCode() + Long.hashCode(attempt);
    }
  }

  private static final int MANY_MISTAKEN = 5;

  final String name;
  final String zone;
  final boolean spot;

  /** As the catalogue has it; without any room until the catalogue is known. */
  MachineType type;

  Life life;
  String address;
  Instant rented;

  /** Its sessions, and until when anything in them can be alive. */
  final IncarnationLease lease = new IncarnationLease();

  /** Highest token that a report has shown, and the one that we command with. */
  long seenToken;

  long token;

  /** The token of the last answer to a report, and the controller through which it went. */
  long answered = -1;

  String via = "";

  /** Reports in a row that did not show what the one before was answered with. */
  int unheard;

  /**
   * A command with this token got no answer: it may yet be executed, until a higher one is seen.
   */
  long doubtToken = -1;

  /** Whether a report has shown a token of this term: from then on reports tell all. */
  boolean settled;

  /** Nothing can be alive here: the lease ran out, and it has shown no sign of life since. */
  boolean lost;

  /** Whether the roster durably names the machine, and as what. */
  boolean recorded;

  boolean recordedRetiring;

  /** By which marks name it in the layout by number; 0 while it has none. */
  int number;

  /** What the roster has as the machine's address. */
  String recordedAddress = "";

  /** Whether a drain will come to it: what is placed there would soon be moved again. */
  boolean drainsLater;

  boolean deleteSent;

  /** Whether it is in maintenance, and what of that is durably recorded. */
  Maintenance maintenance = Maintenance.IN_SERVICE;

  Maintenance recordedMaintenance = Maintenance.IN_SERVICE;
  Instant heard = Instant.MIN;

  /** When it first answered a command since its last report; only reports renew its lease. */
  Optional<Instant> answersSince = Optional.empty();

  boolean everReported;
  boolean calling;

  /** Probes without an answer since it was last heard. */
  int missedProbes;

  Instant directAfter = Instant.MIN;
  Optional<Instant> takenAt = Optional.empty();
  boolean faulty;

  /** Jobs whose tasks failed here since one last was done here, and how often. */
  private final Map<Job, Integer> failures = new HashMap<>();

  Instant avoidUntil = Instant.MIN;

  /** Since when the machine can be spared; far in the future when it can't. */
  Instant spareSince = Instant.MAX;

  boolean listed;
  Instant listedSince = Instant.MIN;

  final Map<TaskId, TaskAttempt> placements = new LinkedHashMap<>();
  private Resources[] rooms;

  /** Attempts that ended, each with a token that no start command for it was above. */
  final Map<Ended, Long> ended = new HashMap<>();

  final Map<Ended, Instant> foreign = new HashMap<>();

  /** Images used here, the latest last, with their sizes. */
  final LinkedHashMap<String, Double> images = new LinkedHashMap<>(8, 0.75f, true);

  Machine(String name, String zone, boolean spot, MachineType type, Life life, Instant now) {
    this.name = name;
    this.zone = zone;
    this.spot = spot;
    this.type = type;
    this.life = life;
    this.rented = now;
    this.address = "";
  }

  /** What the roster is to say of the machine, with the number by which marks name it. */
  MachineRecordCodec.MachineRecord rosterEntry(int byNumber) {
    return new MachineRecordCodec.MachineRecord(
        byNumber,
        name,
        address,
        type.name(),
        zone,
        spot,
        lease.session(),
        life == Life.RETIRING,
        maintenance);
  }

  /** A task failed here. */
  void noteFailure(Job job) {
    failures.merge(job, 1, Integer::sum);
  }

  /** A task was done here: what failed before did not fail for the machine. */
  void noteSuccess() {
    failures.clear();
  }

  /** How often tasks failed here that did not fail for their own job. */
  int strikes() {
    int n = 0;
    for (Map.Entry<Job, Integer> e : failures.entrySet()) {
      n += e.getKey().mistaken() ? 0 : e.getValue();
    }
    return n;
  }

  /**
   * Whether what failed here points at the machine: twice a job that runs elsewhere, or two jobs of
   * which it is not known that they fail everywhere. Of those that do, it takes many at once.
   */
  boolean failsWhatItStarts() {
    int good = 0;
    int jobs = 0;
    for (Map.Entry<Job, Integer> e : failures.entrySet()) {
      good += e.getKey().works() ? e.getValue() : 0;
      jobs += e.getKey().mistaken() ? 0 : 1;
    }
    return good >= 2 || jobs >= 2 || failures.size() >= MANY_MISTAKEN;
  }

  void noteImage(String image, double gb) {
    images.put(image, gb);
    double sum = 0;
    for (double d : images.values()) {
      sum += d;
    }
    var it = images.entrySet().iterator();
    while (sum > type.imageCacheGb() && it.hasNext()) {
      var oldest = it.next();
      if (oldest.getKey().equals(image)) {
        break;
      }
      sum -= oldest.getValue();
      it.remove();
    }
  }

  /** How many images beside that one are fetched, or are to be, for tasks that are placed here. */
  int otherFetches(String image) {
    Set<String> others = new HashSet<>();
    for (TaskAttempt attempt : placements.values()) {
      String other = attempt.job.spec.image();
      boolean fetches = attempt.stage.compareTo(TaskAttempt.Stage.FETCHING) <= 0;
      if (fetches && !other.equals(image) && !images.containsKey(other)) {
        others.add(other);
      }
    }
    return others.size();
  }

  void add(TaskAttempt attempt) {
    placements.put(attempt.task, attempt);
    touch();
  }

  void remove(TaskAttempt attempt) {
    placements.remove(attempt.task, attempt);
    touch();
  }

  /** To be called when what is placed here, or is to stay here, has changed. */
  void touch() {
    rooms = null;
  }

  /** What is left, when everything decided has come to pass; the caller may change it. */
  Resources room() {
    return roomAbove(Priority.IDLE).copy();
  }

  /**
   * What would be left if all below the priority were evicted. Kept from one question to the next,
   * since every pass asks every machine and most have not changed. Not to be changed.
   */
  Resources roomAbove(Priority priority) {
    if (rooms == null) {
      rooms = new Resources[Priority.values().length];
      for (Priority floor : Priority.values()) {
        Resources r = new Resources(type.cpus(), type.gpus(), type.memoryGb());
        for (TaskAttempt attempt : placements.values()) {
          if (!attempt.stopping && attempt.job.spec.priority().compareTo(floor) >= 0) {
            r.take(attempt.job);
          }
        }
        rooms[floor.ordinal()] = r;
      }
    }
    return rooms[priority.ordinal()];
  }

  /** What is left now, counting all that may be on the machine. */
  Resources physicalRoom() {
    Resources r = new Resources(type.cpus(), type.gpus(), type.memoryGb());
    for (TaskAttempt attempt : placements.values()) {
      if (attempt.stage != TaskAttempt.Stage.PLANNED) {
        r.take(attempt.job);
      }
    }
    return r;
  }

  /** How many more tasks like these the machine could take, evicting lower ones if need be. */
  int roomWithEviction(Job like) {
    return roomAbove(like.spec.priority()).count(like);
  }

  /** Tasks of services here. */
  int replicas() {
    int n = 0;
    for (TaskAttempt attempt : placements.values()) {
      if (attempt.job.spec.isService()) {
        n++;
      }
    }
    return n;
  }

  /** From when the machine has seen the next token, no command with an older one is executed. */
  void raiseToken() {
    token++;
  }

  boolean inDoubt() {
    return doubtToken >= seenToken;
  }

  /** Room in all resources. */
  static final class Resources {
    static final double SLACK = 1e-6;
    double cpus;
    double gpus;
    double memoryGb;

    Resources(double cpus, double gpus, double memoryGb) {
      this.cpus = cpus;
      this.gpus = gpus;
      this.memoryGb = memoryGb;
    }

    /** All that a machine of the type has. */
    static Resources of(MachineType type) {
      return new Resources(type.cpus(), type.gpus(), type.memoryGb());
    }

    Resources copy() {
      return new Resources(cpus, gpus, memoryGb);
    }

    void take(Job job) {
      cpus -= job.spec.cpus();
      gpus -= job.spec.gpus();
      memoryGb -= job.spec.memoryGb();
    }

    void give(Job job) {
      cpus += job.spec.cpus();
      gpus += job.spec.gpus();
      memoryGb += job.spec.memoryGb();
    }

    boolean fits(Job job) {
      return cpus + SLACK >= job.spec.cpus()
          && gpus + SLACK >= job.spec.gpus()
          && memoryGb + SLACK >= job.spec.memoryGb();
    }

    /** How many tasks like these fit. */
    int count(Job job) {
      double n = 100_000;
      if (job.spec.cpus() > 0) {
        n = Math.min(n, (cpus + SLACK) / job.spec.cpus());
      }
      if (job.spec.gpus() > 0) {
        n = Math.min(n, (gpus + SLACK) / job.spec.gpus());
      }
      if (job.spec.memoryGb() > 0) {
        n = Math.min(n, (memoryGb + SLACK) / job.spec.memoryGb());
      }
      return (int) Math.max(0, n);
    }
  }
}
