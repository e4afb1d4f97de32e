package io.pearscale.scheduler;

import io.pearscale.protocol.MachineType;
import io.pearscale.protocol.Malformed;
import io.pearscale.protocol.TaskId;
import io.pearscale.scheduler.Machine.Life;
import io.pearscale.scheduler.Placement.Stage;
import io.pearscale.storage.Marks;
import io.pearscale.storage.Roster;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Rebuilds what a new leader has to know from the records that its predecessors left. */
final class LeaderRecovery {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderRecovery.class);
  private final Leadership leadership;
  private final JobTable jobs;
  private final MachineInventory inventory;
  private final LeaderRecords records;
  private final InstantSource clock;
  private final CommandDispatcher dispatcher;
  private final Consumer<String> unfit;
  private boolean complete;

  /**
   * Makes a recovery.
   *
   * @param unfit is told why this controller can't lead, of a record that it can't read
   */
  LeaderRecovery(LeaderState state, CommandDispatcher dispatcher, Consumer<String> unfit) {
    this.leadership = state.leadership();
    this.jobs = state.jobs();
    this.inventory = state.inventory();
    this.records = state.records();
    this.clock = state.clock();
    this.dispatcher = dispatcher;
    this.unfit = unfit;
  }

  /** A term has begun, in which nothing was taken over yet. */
  void begin() {
    complete = false;
  }

  /** Whether all machines that could hold what a former leader started have spoken. */
  boolean isComplete() {
    return complete;
  }

  /**
   * Takes over what is stored.
   *
   * @param epoch the revision up to which all changes of the keys are known
   * @return whether that could be done; if not, this controller is unfit to lead
   */
  boolean takeOver(long epoch) {
    Optional<StoredRecords> stored = storedRecords();
    if (stored.isEmpty()) {
      return false;
    }
    leadership.becomeReady();
    jobs.forgetPlacements();
    records.clear();
    takeOver(stored.get());
    jobs.all().forEach(jobs::requeue);
    dispatcher.probeFormerMachines();
    LOG.info(
        "event=takeover term={} token={} revision={} term_revision={} jobs={} roster={}"
            + " unseen_tasks={} out_of_service={}",
        leadership.term(),
        leadership.firstToken(),
        epoch,
        leadership.termStamp(),
        jobs.size(),
        inventory.size(),
        jobs.all().stream().mapToInt(job -> job.placed.size()).sum(),
        inventory.all().stream().filter(machine -> !machine.maintenance.takesTasks()).count());
    return true;
  }

  /** All that a predecessor recorded; empty if it can't be read. */
  private Optional<StoredRecords> storedRecords() {
    try {
      if (jobs.unreadableKey().isPresent()) {
        throw new Malformed(jobs.unreadableKey().get() + ": job can't be read");
      }
      return Optional.of(records.decodeStored());
    } catch (Malformed e) {
      LOG.error(
          "event=stored_record_unreadable term={} reason={}", leadership.term(), e.getMessage());
      unfit.accept(e.getMessage());
      return Optional.empty();
    }
  }

  private void takeOver(StoredRecords stored) {
    Map<Integer, Machine> numbered = new HashMap<>();
    stored
        .machines()
        .forEach(
            (number, entries) -> {
              for (Roster.Entry e : entries) {
                numbered.put(Marks.host(number, e.place(), Shards.PLACES), fromRoster(e, number));
              }
            });
    stored.tasks().forEach((number, parts) -> parts.forEach(p -> takeOver(p, numbered, number)));
  }

  private void takeOver(Marks.Part p, Map<Integer, Machine> numbered, int value) {
    Job j = jobs.get(p.job());
    if (j != null && p.part() >= 0 && p.part() < j.parts()) {
      fromMarks(j, p, numbered, value);
    } else if (j == null && p.part() >= 0 && p.claim().isPresent()) {
      remainsFromMarks(p, numbered, value);
    }
  }

  private Machine fromRoster(Roster.Entry e, int value) {
    MachineType type = inventory.catalogue().typeOf(e.type());
    boolean seen = !e.address().isEmpty();
    Life life = e.retiring() ? Life.RETIRING : seen ? Life.UP : Life.BOOTING;
    Machine m = new Machine(e.machine(), e.zone(), e.spot(), type, life, clock.instant());
    m.address = e.address();
    m.recorded = true;
    m.recordedRetiring = e.retiring();
    m.recordedAddress = e.address();
    m.maintenance = e.maintenance();
    m.recordedMaintenance = e.maintenance();
    m.everReported = seen;
    m.lease.recorded(e.session());
    inventory.addFormer(m);
    records.adoptMachine(m, e, value);
    return m;
  }

  /**
   * Takes over what is known of a part of a job. A task that is not done may be on the machine that
   * its mark names, and on no other: the mark is durable before the start is sent, and is changed
   * only when the task is known to be gone from there. So it waits for that machine alone.
   */
  private void fromMarks(Job j, Marks.Part p, Map<Integer, Machine> numbered, int value) {
    int first = p.part() * Marks.PART;
    p.done().stream().filter(i -> first + i < j.spec.tasks()).forEach(i -> j.done.set(first + i));
    j.noteDurable(p.part(), p.done());
    records.adoptPart(new JobPart(j, p.part()), value);
    for (int i = 0; i < p.hosts().length && first + i < j.spec.tasks(); i++) {
      Machine m = numbered.get(p.hosts()[i]);
      if (m != null && !j.done.get(first + i)) {
        TaskId task = new TaskId(j.spec.id(), first + i);
        Placement assumed = new Placement(j, task, -1, m, Stage.SENT, clock.instant());
        assumed.marked = true;
        inventory.add(assumed);
      }
    }
    if (j.complete()) {
      records.adoptEnd(j);
    }
  }

  /** Takes over what may be left of a job that is over, see {@link LeaderRecords#close}. */
  private void remainsFromMarks(Marks.Part p, Map<Integer, Machine> numbered, int value) {
    Job remains = Job.remains(p, p.claim().orElseThrow(), clock.instant());
    fromMarks(remains, p, numbered, value);
    for (Placement placement : remains.placed.values()) {
      placement.stopping = true;
      placement.stopsAtOnce = true;
    }
    if (remains.placed.isEmpty()) {
      records.removeJob(remains);
    }
  }

  /**
   * A former leader may renew leases for as long as its proof holds, unless it has ended or knows
   * of our term. Both are known of every peer from when it said that it knows the term: it steps
   * down before it says so, and answers afterwards only reports that it had got before. So the
   * tasks of a machine that nobody hears are over a lease from now, not a lease after the hold:
   * whole zones that are cut off while their leader's process ends are done without so much sooner.
   */
  void formerLeadersEnded() {
    if (leadership.formerLeadersEnded()) {
      Instant now = clock.instant();
      inventory.all().forEach(machine -> machine.lease.formerLeadersEnded(now));
      LOG.info(
          "event=former_leaders_over term={} after_ms={}",
          leadership.term(),
          Duration.between(leadership.wonAt(), now).toMillis());
    }
  }

  /** Notes when all machines that could hold what a former leader started have spoken. */
  void noteProgress() {
    if (complete || inventory.all().stream().anyMatch(m -> !m.settled && !m.placements.isEmpty())) {
      return;
    }
    complete = true;
    LOG.info(
        "event=rebuilt term={} after_ms={}",
        leadership.term(),
        Duration.between(leadership.wonAt(), clock.instant()).toMillis());
  }
}
