package io.pearscale.scheduler.records;

import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.scheduler.agents.CommandDispatcher;
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

/** Rebuilds what a new leader has to know from the records that its predecessors left. */
public final class LeaderRecovery {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderRecovery.class);
  private final LeaderState state;
  private final Leadership leadership;
  private final JobTable jobs;
  private final MachineInventory inventory;
  private final LeaderRecords records;
  private final InstantSource clock;
  private final CommandDispatcher dispatcher;
  private final Consumer<String> onUnfitToLead;
  private boolean complete;

  /**
   * Makes a recovery.
   *
   * @param onUnfitToLead is told why this controller can't lead, of a record that it can't read
   */
  public LeaderRecovery(
      LeaderState state,
      LeaderRecords records,
      CommandDispatcher dispatcher,
      Consumer<String> onUnfitToLead) {
    this.state = state;
    this.leadership = state.leadership();
    this.jobs = state.jobs();
    this.inventory = state.inventory();
    this.records = records;
    this.clock = state.clock();
    this.dispatcher = dispatcher;
    this.onUnfitToLead = onUnfitToLead;
  }

  /** A term has begun, in which nothing was taken over yet. */
  public void beginTerm() {
    complete = false;
  }

  /** Whether all machines that could hold what a former leader started have spoken. */
  public boolean isComplete() {
    return complete;
  }

  /**
   * Takes over what is stored.
   *
   * @param storeRevision the revision up to which all changes of the keys are known
   * @return whether that could be done; if not, this controller is unfit to lead
   */
  public boolean recover(long storeRevision) {
    Optional<StoredRecords> stored = readStoredRecords();
    if (stored.isEmpty()) {
      return false;
    }
    leadership.becomeReady();
    jobs.forgetLeaderState();
    records.clear();
    new RecordAdoption(state, records).adopt(stored.get());
    jobs.all().forEach(jobs::requeue);
    dispatcher.probeRecordedMachines();
    LOG.info(
        "event=takeover term={} token={} revision={} term_revision={} jobs={} roster={}"
            + " unseen_tasks={} out_of_service={}",
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

  /** All that a predecessor recorded; empty if it can't be read. */
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
   * A former leader may renew leases for as long as its proof holds, unless it has ended or knows
   * of our term. Both are known of every peer from when it said that it knows the term: it steps
   * down before it says so, and answers afterwards only reports that it had got before. So the
   * tasks of a machine that nobody hears are over a lease from now, not a lease after the hold:
   * whole zones that are cut off while their leader's process ends are done without so much sooner.
   */
  public void notePreviousLeadersEnded() {
    if (leadership.endPreviousLeaders()) {
      Instant now = clock.instant();
      inventory.all().forEach(machine -> machine.lease().previousLeadersEnded(now));
      LOG.info(
          "event=former_leaders_over term={} after_ms={}",
          leadership.term(),
          Duration.between(leadership.electedAt(), now).toMillis());
    }
  }

  /** Notes when all machines that could hold what a former leader started have spoken. */
  public void noteProgress() {
    if (complete
        || inventory.all().stream()
            .anyMatch(machine -> !machine.reconciled() && !machine.attempts().isEmpty())) {
      return;
    }
    complete = true;
    LOG.info(
        "event=rebuilt term={} after_ms={}",
        leadership.term(),
        Duration.between(leadership.electedAt(), clock.instant()).toMillis());
  }
}
