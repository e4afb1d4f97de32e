package io.pearscale.scheduler.records;

import io.pearscale.protocol.MessageFields;
import io.pearscale.protocol.Settings;
import io.pearscale.scheduler.SchedulerActor.Environment;
import io.pearscale.scheduler.SchedulerActor.Listener;
import io.pearscale.scheduler.agents.CommandDispatcher;
import io.pearscale.scheduler.agents.MachineRetirement;
import io.pearscale.scheduler.model.GangTracker;
import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.JobTable;
import io.pearscale.scheduler.model.LeaderState;
import io.pearscale.scheduler.model.Leadership;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.MachineInventory;
import io.pearscale.scheduler.model.TermExecutor;
import io.pearscale.scheduler.records.LeaderTransaction.WrittenMachine;
import io.pearscale.storage.KeyValueStoreClient;
import io.pearscale.storage.Keys;
import io.pearscale.storage.MachineRecordCodec;
import io.pearscale.transport.HttpClient.Reply;
import io.pearscale.upgrade.LevelGate;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes all that is due in one transaction after the other, each guarded by the term. A
 * transaction of unknown outcome is followed by a look at the term's key, which every transaction
 * changes.
 */
public final class RecordWriter {
  private static final Logger LOG = LoggerFactory.getLogger(RecordWriter.class);

  /** A commit follows the one before after this time at the earliest. */
  private static final Duration MIN_COMMIT_INTERVAL = Duration.ofMillis(40);

  /** Half of all writes is left to users. */
  private static final double LEADER_WRITE_SHARE = 0.5;

  /** After a refusal the next try waits for this time, and up to the spread longer. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(150);

  private static final int RETRY_JITTER_MILLIS = 200;

  /** After a transaction without an answer the term is read this much later. */
  private static final Duration TERM_READ_DELAY = Duration.ofMillis(300);

  /** After a refused one it is read at once. */
  private static final Duration IMMEDIATE_TERM_READ_DELAY = Duration.ofMillis(1);

  private final Leadership leadership;
  private final JobTable jobs;
  private final MachineInventory inventory;
  private final LeaderRecords records;
  private final GangTracker gangs;
  private final InstantSource clock;
  private final Settings.StoreLimits limits;
  private final KeyValueStoreClient store;
  private final List<TransactionContributor> contributors;
  private final TermExecutor executor;
  private final RandomGenerator random;
  private final LevelGate levelGate;
  private final Listener listener;
  private final CommandDispatcher dispatcher;
  private final MachineRetirement retirement;
  private long commitCount;
  private boolean commitInFlight;
  private boolean commitScheduled;
  private boolean keepAliveDue;
  private Instant lastCommit = Instant.MIN;
  private int lastMutationCount;

  /**
   * Makes a writer.
   *
   * @param contributors have more to write, behind the records of jobs and machines
   */
  public RecordWriter(
      LeaderState leaderState,
      LeaderRecords records,
      Environment environment,
      List<TransactionContributor> contributors,
      TermExecutor executor,
      CommandDispatcher dispatcher,
      MachineRetirement retirement) {
    this.leadership = leaderState.leadership();
    this.jobs = leaderState.jobs();
    this.inventory = leaderState.inventory();
    this.records = records;
    this.clock = leaderState.clock();
    this.gangs = leaderState.gangs();
    this.limits = environment.settings().storeLimits();
    this.store = environment.store();
    this.random = environment.random();
    this.levelGate = environment.levelGate();
    this.listener = environment.listener();
    this.contributors = contributors;
    this.executor = executor;
    this.dispatcher = dispatcher;
    this.retirement = retirement;
  }

  /** A term has begun: nothing is under way in it. */
  public void beginTerm() {
    commitCount = 0;
    commitInFlight = false;
    commitScheduled = false;
  }

  /** The leader is to show that it lives, by a write if there is none to be made anyway. */
  public void writeKeepAlive() {
    keepAliveDue = true;
    scheduleCommit();
  }

  /** Asks for a transaction. */
  public void scheduleCommit() {
    if (commitScheduled || commitInFlight || !leadership.isLeading()) {
      return;
    }
    commitScheduled = true;
    Duration wait = untilNextCommit();
    if (wait.isNegative() || wait.isZero()) {
      // After this message: what the rest of the pass decides goes along.
      executor.execute(this::commit);
    } else {
      executor.after(wait, this::commit);
    }
  }

  /** Asks for a transaction if something is due. */
  public void scheduleCommitIfDue() {
    if (records.isDue() || contributors.stream().anyMatch(TransactionContributor::isDue)) {
      scheduleCommit();
    }
  }

  /** A commit pays for its changes with the time until the next one. */
  private Duration untilNextCommit() {
    if (lastCommit.equals(Instant.MIN)) {
      return Duration.ZERO;
    }
    double mutationsPerSecond = LEADER_WRITE_SHARE * limits.writesPerSecond();
    Duration pause = MessageFields.duration(lastMutationCount / mutationsPerSecond);
    if (pause.compareTo(MIN_COMMIT_INTERVAL) < 0) {
      pause = MIN_COMMIT_INTERVAL;
    }
    return pause.minus(Duration.between(lastCommit, clock.instant()));
  }

  /** Writes all that is due in one transaction, guarded by the term. */
  private void commit() {
    commitScheduled = false;
    if (commitInFlight || !leadership.isReady()) {
      return;
    }
    LeaderTransaction transaction =
        new LeaderTransaction(
            limits.maxTransactionOperations(),
            leadership.term(),
            leadership.termRevision(),
            ++commitCount,
            levelGate.inForce().writtenLevel());
    records.contribute(transaction, inventory.catalogue().types());
    contributors.forEach(contributor -> contributor.contribute(transaction));
    if (transaction.isEmpty() && !keepAliveDue) {
      return;
    }
    keepAliveDue = false;
    commitInFlight = true;
    lastCommit = clock.instant();
    lastMutationCount = transaction.mutations().size();
    store.compareAndSwap(
        transaction.preconditions(),
        transaction.mutations(),
        executor.callback(reply -> onCommitReply(transaction, reply)));
  }

  private void onCommitReply(LeaderTransaction transaction, Reply reply) {
    if (reply.ok()) {
      commitInFlight = false;
      leadership.recordTermRevision(reply.body().path("epoch").asLong(leadership.termRevision()));
      onApplied(transaction);
      scheduleCommitIfDue();
      return;
    }
    records.onNotApplied(transaction);
    contributors.forEach(contributor -> contributor.onNotApplied(transaction));
    List<String> failedKeys =
        reply.status() == 409 ? KeyValueStoreClient.failedPreconditions(reply) : List.of();
    if (reply.status() == 0 || failedKeys.contains(Keys.TERM)) {
      executor.after(
          reply.status() == 0 ? TERM_READ_DELAY : IMMEDIATE_TERM_READ_DELAY, this::readTerm);
    } else if (failedKeys.contains(Keys.LEVEL)) {
      // The level of stored forms was switched: the watch says whether this build supports it.
      LOG.info("event=commit_under_former_level term={}", leadership.term());
      commitInFlight = false;
      scheduleRetry();
    } else if (reply.status() == 409) {
      // Somebody was faster with these jobs, by cancelling them; the watch brings the news.
      commitInFlight = false;
      transaction.finishedJobs().stream()
          .filter(job -> failedKeys.contains(Keys.liveJob(job.spec().id())))
          .forEach(records::withdrawJobFinished);
      scheduleCommit();
    } else {
      if (reply.status() == 400) {
        records.onRejected(transaction);
      }
      LOG.info("event=commit_put_off term={} status={}", leadership.term(), reply.status());
      commitInFlight = false;
      scheduleRetry();
    }
  }

  private void scheduleRetry() {
    commitScheduled = true;
    executor.after(RETRY_DELAY.plusMillis(random.nextInt(RETRY_JITTER_MILLIS)), this::commit);
  }

  private void readTerm() {
    store.get(Keys.TERM, executor.callback(this::onTermRead));
  }

  /** After a transaction of unknown outcome: is the term still ours, and at which stamp? */
  private void onTermRead(Reply reply) {
    if (!reply.ok()) {
      executor.after(
          TERM_READ_DELAY.plusMillis(random.nextInt(RETRY_JITTER_MILLIS)), this::readTerm);
      return;
    }
    long storedTerm = reply.body().path("value").path("term").asLong();
    if (storedTerm > leadership.term()) {
      listener.higherTermSeen(storedTerm);
      return;
    }
    // Applied or not: what is due is still marked as due and goes out again, guarded by the
    // stamp as it is now. Should the old transaction come after all, it will find another one.
    leadership.recordTermRevision(reply.body().path("stamp").asLong(leadership.termRevision()));
    commitInFlight = false;
    scheduleRetry();
  }

  private void onApplied(LeaderTransaction transaction) {
    records.onApplied(transaction);
    transaction.writtenMachines().forEach(this::noteMachineRecorded);
    transaction.finishedJobs().forEach(this::finishJob);
    contributors.forEach(contributor -> contributor.onApplied(transaction));
    dispatcher.sendAllDueCommands();
    retirement.deleteRetired();
  }

  /**
   * A machine that got another place while the transaction was under way is not recorded by it:
   * marks name machines by their places.
   */
  private void noteMachineRecorded(WrittenMachine stored) {
    MachineRecordCodec.MachineRecord record = stored.record();
    Machine machine = inventory.get(record.machine());
    if (machine != null && records.hasSlot(machine, stored)) {
      machine.record().recordWritten(record.retiring(), record.address(), record.maintenance());
      records.noteMachineRecorded(machine);
    }
  }

  private void finishJob(Job job) {
    jobs.remove(job.spec().id());
    gangs.forget(job);
    records.closeJob(job);
    job.recordAllDurablyDone();
    LOG.info(
        "event=job_done term={} job={} after_ms={}",
        leadership.term(),
        job.spec().id(),
        Duration.between(job.submittedAt(), clock.instant()).toMillis());
    List.copyOf(job.attempts().values()).forEach(inventory::stop);
  }
}
