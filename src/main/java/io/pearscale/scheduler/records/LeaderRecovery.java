package io.pearscale.scheduler.records;

import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.scheduler.model.JobTable;
import io.pearscale.scheduler.model.LeaderState;
import io.pearscale.scheduler.model.Leadership;
import io.pearscale.scheduler.model.MachineInventory;
import io.pearscale.scheduler.model.RenewalEndProof;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Recovers the state of a new leader from the stored records of its predecessors. */
public final class LeaderRecovery {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderRecovery.class);
  private final LeaderState state;
  private final Leadership leadership;
  private final JobTable jobs;
  private final MachineInventory inventory;
  private final LeaderRecords records;
  private final InstantSource clock;
  private final Runnable probeRecordedMachines;
  private final Consumer<String> onUnreadableRecord;
  private boolean complete;

  /**
   * Creates a recovery.
   *
   * @param probeRecordedMachines immediately requests the list of tasks from every recorded machine
   * @param onUnreadableRecord receives the reason why this controller can't lead if it can't read a
   *     stored record
   */
  public LeaderRecovery(
      LeaderState state,
      LeaderRecords records,
      Runnable probeRecordedMachines,
      Consumer<String> onUnreadableRecord) {
    this.state = state;
    this.leadership = state.leadership();
    this.jobs = state.jobs();
    this.inventory = state.inventory();
    this.records = records;
    this.clock = state.clock();
    this.probeRecordedMachines = probeRecordedMachines;
    this.onUnreadableRecord = onUnreadableRecord;
  }

  /** Resets the recovery at the start of a term. */
  public void beginTerm() {
    complete = false;
  }

  /** Returns whether all machines that may hold tasks of a previous leader are reconciled. */
  public boolean isComplete() {
    return complete;
  }

  /**
   * Adopts the stored records and requests the tasks of all recorded machines.
   *
   * @param storeRevision the revision of the store up to which all changes are known
   * @return false if some record can't be read, so that this controller must not lead
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

  /** Returns all stored records; empty if one of them can't be read. */
  private Optional<StoredRecords> readStoredRecords() {
    try {
      if (jobs.unreadableKey().isPresent()) {
        throw new MalformedMessageException(jobs.unreadableKey().get() + ": job can't be read");
      }
      return Optional.of(records.decodeStored());
    } catch (MalformedMessageException e) {
      LOG.error(
          "event=stored_record_unreadable term={} reason={}", leadership.term(), e.getMessage());
      onUnreadableRecord.accept(e.getMessage());
      return Optional.empty();
    }
  }

  /**
   * Shortens the leases of machines without heartbeats, once no previous leader can renew a lease.
   *
   * <p>A previous leader may renew leases while its proof of leadership is valid, unless it has
   * ended or knows of this term. Every peer that has acknowledged the term is known to have stopped
   * renewing leases: it steps down before it acknowledges, and afterwards answers only heartbeats
   * that it had received before. The tasks of a machine without heartbeats have therefore ended one
   * lease from now, instead of one lease after the renewal authority has timed out. If whole zones
   * are disconnected while their leader's process ends, their tasks can be restarted elsewhere that
   * much sooner.
   */
  public void onPreviousLeadersEnded() {
    if (leadership.endPreviousLeaders()) {
      inventory
          .all()
          .forEach(
              machine ->
                  inventory.endPreviousLeaders(machine, RenewalEndProof.ELECTION_ACKNOWLEDGED));
      LOG.info(
          "event=previous_leader_leases_expired term={} after_ms={}",
          leadership.term(),
          Duration.between(leadership.electedAt(), clock.instant()).toMillis());
    }
  }

  /**
   * Completes the recovery once all machines that may hold tasks of a previous leader are
   * reconciled.
   */
  public void updateCompletion() {
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
