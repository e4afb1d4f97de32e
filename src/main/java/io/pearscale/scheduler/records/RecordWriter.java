package io.pearscale.scheduler.records;

import io.pearscale.protocol.Settings.StoreLimits;
import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.JobTable;
import io.pearscale.scheduler.model.LeaderState;
import io.pearscale.scheduler.model.Leadership;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.MachineInventory;
import io.pearscale.scheduler.model.TermExecutor;
import io.pearscale.scheduler.records.LeaderTransaction.WrittenMachine;
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
 * Commits all that is due in one compare-and-swap after the other, each on the condition that the
 * term's key is unchanged.
 *
 * <p>Invariant: at most one transaction of a term can still take effect. Each one changes the
 * term's key, and the next names the revision that it left. After one of unknown outcome the writer
 * reads the key's present revision and goes on from there: should the old transaction arrive after
 * all, its condition fails. What it carried stays due until some transaction with it is known as
 * applied.
 */
public final class RecordWriter {
  private static final Logger LOG = LoggerFactory.getLogger(RecordWriter.class);

  /** Before a retry the writer waits for this time, and up to the jitter longer. */
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
   * @param limits what the store takes, per transaction and second
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
   * Creates a writer with nothing under way.
   *
   * @param contributors have more to write, behind the records of jobs and machines
   * @param random draws the jitter of retries
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

  /** Resets for a term that begins: nothing is under way in it. */
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

  /** Requests a transaction, as soon as the write rate allows it. */
  public void scheduleCommit() {
    if (commitScheduled || commitInFlight || !leadership.isLeading()) {
      return;
    }
    commitScheduled = true;
    Duration wait = pacer.untilNextCommit();
    if (wait.isNegative() || wait.isZero()) {
      // After this message: what the rest of the scheduling pass decides goes along.
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

  /** Commits all that is due, unless nothing is. */
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
            store.levelGate.inForce().writtenLevel());
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
      // The schema level was changed: the watch says whether this build supports the new one.
      LOG.info("event=commit_at_previous_schema_level term={}", leadership.term());
      scheduleRetry();
      return;
    }
    // These jobs were cancelled first; the watch brings the news.
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

  /** Goes on from the term's present revision, if this controller still leads. */
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
    // Applied or not: what it carried is still due, and goes out again on the present revision.
    leadership.recordTermRevision(reply.body().path("stamp").asLong(leadership.termRevision()));
    commitInFlight = false;
    scheduleRetry();
  }

  private void onApplied(LeaderTransaction transaction) {
    records.onApplied(transaction);
    transaction.writtenMachines().forEach(this::noteMachineRecorded);
    transaction.finishedJobs().forEach(this::finishJob);
    contributors.forEach(contributor -> contributor.onApplied(transaction));
    listener.onTransactionApplied();
  }

  private void noteMachineRecorded(WrittenMachine written) {
    Machine machine = inventory.get(written.record().machine());
    if (machine != null) {
      records.noteMachineRecorded(machine, written);
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
