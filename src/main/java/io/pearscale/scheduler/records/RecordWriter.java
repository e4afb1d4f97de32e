package io.pearscale.scheduler.records;

import io.pearscale.protocol.Settings.StoreLimits;
import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.JobTable;
import io.pearscale.scheduler.model.LeaderState;
import io.pearscale.scheduler.model.Leadership;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.MachineInventory;
import io.pearscale.scheduler.model.TermExecutor;
import io.pearscale.scheduler.records.LeaderTransaction.WrittenMachineRecord;
import io.pearscale.storage.CommitOutcome;
import io.pearscale.storage.KeyValueStoreClient;
import io.pearscale.storage.Keys;
import io.pearscale.transport.HttpClient.Reply;
import io.pearscale.upgrade.LevelGate;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Commits all due records in consecutive compare-and-swap transactions, each with the precondition
 * that the term's key is unchanged.
 *
 * <p>Invariant: at most one transaction of a term can still take effect. Each transaction changes
 * the term's key, and the next one requires the resulting revision. After a transaction of unknown
 * outcome, the writer reads the key's current revision and continues from it: if the old
 * transaction still arrives, its precondition fails. Its records stay due until a transaction that
 * contains them is known to be applied.
 */
public final class RecordWriter {
  private static final Logger LOG = LoggerFactory.getLogger(RecordWriter.class);

  /** Minimum delay before a retry; a random delay below {@link #RETRY_JITTER_MILLIS} is added. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(150);

  private static final int RETRY_JITTER_MILLIS = 200;

  /** Delay before the term is read after a transaction of unknown outcome. */
  private static final Duration TERM_READ_DELAY = Duration.ofMillis(300);

  /** Delay before the term is read after a transaction that found another revision of it. */
  private static final Duration IMMEDIATE_TERM_READ_DELAY = Duration.ofMillis(1);

  /**
   * The key-value store that is written to.
   *
   * @param client sends the transactions
   * @param limits limits of the store, per transaction and per second
   * @param levelGate supplies the schema level in whose form records are written
   */
  public record Store(KeyValueStoreClient client, StoreLimits limits, LevelGate levelGate) {}

  private final Leadership leadership;
  private final JobTable jobs;
  private final MachineInventory inventory;
  private final LeaderRecords records;
  private final InstantSource clock;
  private final Store store;
  private final List<TransactionContributor> contributors;
  private final TermExecutor executor;
  private final RandomGenerator random;
  private final CommitListener listener;
  private final CommitPacer pacer;
  private long commitCount;
  private boolean commitInFlight;
  private boolean commitScheduled;
  private boolean keepAliveDue;

  /**
   * Creates a writer without a transaction in flight.
   *
   * @param contributors add records after those of jobs and machines
   * @param random generates the jitter of retries
   */
  public RecordWriter(
      LeaderState leaderState,
      LeaderRecords records,
      Store store,
      List<TransactionContributor> contributors,
      TermExecutor executor,
      RandomGenerator random,
      CommitListener listener) {
    this.leadership = leaderState.leadership();
    this.jobs = leaderState.jobs();
    this.inventory = leaderState.inventory();
    this.records = records;
    this.clock = leaderState.clock();
    this.store = store;
    this.contributors = contributors;
    this.executor = executor;
    this.random = random;
    this.listener = listener;
    this.pacer = new CommitPacer(leaderState.clock(), store.limits.writesPerSecond());
  }

  /** Resets the writer at the start of a term, with no transaction in flight. */
  public void beginTerm() {
    commitCount = 0;
    commitInFlight = false;
    commitScheduled = false;
  }

  /** Requests a transaction that shows that the leader is alive, even if nothing is due. */
  public void writeKeepAlive() {
    keepAliveDue = true;
    scheduleCommit();
  }

  /** Requests a transaction as soon as the write rate allows it. */
  public void scheduleCommit() {
    if (commitScheduled || commitInFlight || !leadership.isLeading()) {
      return;
    }
    commitScheduled = true;
    Duration wait = pacer.untilNextCommit();
    if (wait.isNegative() || wait.isZero()) {
      // Runs after the current message, so that the transaction includes the decisions of the rest
      // of the scheduling pass.
      executor.execute(this::commit);
    } else {
      executor.executeAfter(wait, this::commit);
    }
  }

  /** Requests a transaction if something is due. */
  public void scheduleCommitIfDue() {
    if (records.isDue() || contributors.stream().anyMatch(TransactionContributor::isDue)) {
      scheduleCommit();
    }
  }

  /** Commits all due records; sends nothing if neither a record nor a keep-alive is due. */
  private void commit() {
    commitScheduled = false;
    if (commitInFlight || !leadership.isReady()) {
      return;
    }
    LeaderTransaction transaction =
        new LeaderTransaction(
            store.limits.maxTransactionOperations(),
            leadership.term(),
            leadership.termRevision(),
            ++commitCount,
            store.levelGate.currentLevel().writtenLevel());
    records.contribute(transaction, inventory.catalogue().types());
    contributors.forEach(contributor -> contributor.contribute(transaction));
    if (transaction.isEmpty() && !keepAliveDue) {
      return;
    }
    keepAliveDue = false;
    commitInFlight = true;
    pacer.recordCommit(transaction.mutations().size());
    store.client.compareAndSwap(
        transaction.preconditions(),
        transaction.mutations(),
        executor.callback(reply -> onCommitReply(transaction, reply)));
  }

  // ---- Outcomes ----

  private void onCommitReply(LeaderTransaction transaction, Reply reply) {
    CommitOutcome outcome = CommitOutcome.of(reply, leadership.termRevision());
    if (outcome instanceof CommitOutcome.Applied applied) {
      commitInFlight = false;
      leadership.recordTermRevision(applied.revision());
      onApplied(transaction);
      scheduleCommitIfDue();
      return;
    }
    records.onNotApplied(transaction);
    contributors.forEach(contributor -> contributor.onNotApplied(transaction));
    if (outcome instanceof CommitOutcome.PreconditionFailed failed) {
      onPreconditionFailed(transaction, failed.keys());
    } else if (outcome instanceof CommitOutcome.Refused refused) {
      onRefused(transaction, refused);
    } else {
      executor.executeAfter(TERM_READ_DELAY, this::readTerm);
    }
  }

  private void onPreconditionFailed(LeaderTransaction transaction, List<String> failedKeys) {
    if (failedKeys.contains(Keys.TERM)) {
      executor.executeAfter(IMMEDIATE_TERM_READ_DELAY, this::readTerm);
      return;
    }
    commitInFlight = false;
    if (failedKeys.contains(Keys.LEVEL)) {
      // The schema level has changed. The watch delivers the new level, which determines whether
      // this build supports it.
      LOG.info("event=commit_at_previous_schema_level term={}", leadership.term());
      scheduleRetry();
      return;
    }
    // These jobs were cancelled first; the watch delivers the cancellations.
    transaction.finishedJobs().stream()
        .filter(job -> failedKeys.contains(Keys.liveJob(job.spec().id())))
        .forEach(records::withdrawJobFinished);
    scheduleCommit();
  }

  private void onRefused(LeaderTransaction transaction, CommitOutcome.Refused refused) {
    if (refused.isInvalid()) {
      records.onRejected(transaction);
    }
    LOG.info("event=commit_retried term={} status={}", leadership.term(), refused.status());
    commitInFlight = false;
    scheduleRetry();
  }

  private void scheduleRetry() {
    commitScheduled = true;
    executor.executeAfter(
        RETRY_DELAY.plusMillis(random.nextInt(RETRY_JITTER_MILLIS)), this::commit);
  }

  private void readTerm() {
    store.client.get(Keys.TERM, executor.callback(this::onTermRead));
  }

  /** Continues from the current revision of the term's key if this controller still leads. */
  private void onTermRead(Reply reply) {
    if (!reply.ok()) {
      executor.executeAfter(
          TERM_READ_DELAY.plusMillis(random.nextInt(RETRY_JITTER_MILLIS)), this::readTerm);
      return;
    }
    long storedTerm = reply.body().path("value").path("term").asLong();
    if (storedTerm > leadership.term()) {
      listener.onHigherTerm(storedTerm);
      return;
    }
    // Whether or not the transaction was applied, its records are still due. They are sent again
    // with the current revision as the precondition.
    leadership.recordTermRevision(reply.body().path("stamp").asLong(leadership.termRevision()));
    commitInFlight = false;
    scheduleRetry();
  }

  private void onApplied(LeaderTransaction transaction) {
    records.onApplied(transaction);
    transaction.writtenMachineRecords().forEach(this::markMachineRecorded);
    transaction.finishedJobs().forEach(this::finishJob);
    contributors.forEach(contributor -> contributor.onApplied(transaction));
    listener.onTransactionApplied();
  }

  private void markMachineRecorded(WrittenMachineRecord written) {
    Machine machine = inventory.get(written.record().machine());
    if (machine != null) {
      records.markMachineRecorded(machine, written);
    }
  }

  private void finishJob(Job job) {
    jobs.remove(job.spec().id());
    listener.onJobFinished(job);
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
