package io.pearscale.scheduler.records;

import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.scheduler.model.JobTable;
import io.pearscale.scheduler.model.LeaderState;
import io.pearscale.scheduler.model.Leadership;
import io.pearscale.scheduler.model.MachineInventory;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Recovers the state of a new leader from the records that its predecessors left. */
public final class LeaderRecovery {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderRecovery.class);
  private final LeaderState state;
  private final Leadership leadership;
  private final JobTable jobs;
  private final MachineInventory inventory;
  private final LeaderRecords records;
  private final InstantSource clock;
  private final Runnable probeRecordedMachines;
  private final Consumer<String> onUnfitToLead;
  private boolean complete;

  /**
   * Creates a recovery.
   *
   * @param probeRecordedMachines asks every recorded machine at once for the tasks that it has
   * @param onUnfitToLead receives the reason why this controller can't lead: a record that it can't
   *     read
   */
  public LeaderRecovery(
      LeaderState state,
      LeaderRecords records,
      Runnable probeRecordedMachines,
      Consumer<String> onUnfitToLead) {
    this.state = state;
    this.leadership = state.leadership();
    this.jobs = state.jobs();
    this.inventory = state.inventory();
    this.records = records;
    this.clock = state.clock();
    this.probeRecordedMachines = probeRecordedMachines;
    this.onUnfitToLead = onUnfitToLead;
  }

  /** Resets for a term that begins: nothing is recovered yet. */
  public void beginTerm() {
    complete = false;
  }

  /** Whether every machine is reconciled that may hold what a previous leader started. */
  public boolean isComplete() {
    return complete;
  }

  /**
   * Takes the stored records over and asks all recorded machines for their tasks.
   *
   * @param storeRevision the revision of the store up to which all changes are known
   * @return false if some record can't be read, so that this controller is unfit to lead
   */
  public boolean recover(long storeRevision) {
    Optional<StoredRecords> stored = readStoredRecords();
    if (stored.isEmpty()) {
      return false;
    }
    leadership.becomeReady();
    jobs.clearLeaderState();
    records.clear();
    new RecordAdoption(state, records).adopt(stored.get());
    jobs.all().forEach(jobs::requeue);
    probeRecordedMachines.run();
    LOG.info(
        "event=takeover term={} token={} revision={} term_revision={} jobs={} machines={}"
            + " unconfirmed_tasks={} out_of_service={}",
        leadership.term(),
        leadership.firstFencingToken(),
        storeRevision,
        leadership.termRevision(),
        jobs.size(),
        inventory.size(),
        jobs.all().stream().mapToInt(job -> job.attempts().size()).sum(),
        inventory.all().stream().filter(machine -> !machine.maintenance().isSchedulable()).count());
    return true;
  }

  /** All stored records; empty if one of them can't be read. */
  private Optional<StoredRecords> readStoredRecords() {
    try {
      if (jobs.unreadableKey().isPresent()) {
        throw new MalformedMessageException(jobs.unreadableKey().get() + ": job can't be read");
      }
      return Optional.of(records.decodeStored());
    } catch (MalformedMessageException e) {
      LOG.error(
          "event=stored_record_unreadable term={} reason={}", leadership.term(), e.getMessage());
      onUnfitToLead.accept(e.getMessage());
      return Optional.empty();
    }
  }

  /**
   * Shortens the leases of machines that are not heard, once no previous leader can renew any.
   *
   * <p>A previous leader may renew leases for as long as its proof of leadership holds, unless it
   * has ended or knows of this term. Of every peer that is known once it has acknowledged the term:
   * it steps down before it acknowledges, and answers afterwards only heartbeats that it had
   * received before. So the tasks of a machine that nobody hears are over one lease from now, and
   * not one lease after the renewal authority has timed out: whole zones that are cut off while
   * their leader's process ends are given up so much sooner.
   */
  public void notePreviousLeadersEnded() {
    if (leadership.endPreviousLeaders()) {
      Instant now = clock.instant();
      inventory.all().forEach(machine -> machine.lease().previousLeadersEnded(now));
      LOG.info(
          "event=previous_leader_leases_expired term={} after_ms={}",
          leadership.term(),
          Duration.between(leadership.electedAt(), now).toMillis());
    }
  }

  /** Notes when every machine is reconciled that may hold what a previous leader started. */
  public void noteProgress() {
    if (complete
        || inventory.all().stream()
            .anyMatch(machine -> !machine.reconciled() && !machine.attempts().isEmpty())) {
      return;
    }
    complete = true;
    LOG.info(
        "event=state_recovered term={} after_ms={}",
        leadership.term(),
        Duration.between(leadership.electedAt(), clock.instant()).toMillis());
  }
}
