package io.pearscale.scheduler;

import io.pearscale.protocol.MessageFields;
import io.pearscale.protocol.Settings;
import io.pearscale.scheduler.LeaderTransaction.StoredMachine;
import io.pearscale.scheduler.SchedulerActor.Environment;
import io.pearscale.scheduler.SchedulerActor.Listener;
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
final class RecordWriter {
  private static final Logger LOG = LoggerFactory.getLogger(RecordWriter.class);

  /** A commit follows the one before after this time at the earliest. */
  private static final Duration COMMIT_SPACING = Duration.ofMillis(40);

  /** Half of all writes is left to users. */
  private static final double LEADERS_SHARE = 0.5;

  /** After a refusal the next try waits for this time, and up to the spread longer. */
  private static final Duration RETRY_PAUSE = Duration.ofMillis(150);

  private static final int RETRY_SPREAD_MILLIS = 200;

  /** After a transaction without an answer the term is read this much later. */
  private static final Duration READ_PAUSE = Duration.ofMillis(300);

  /** After a refused one it is read at once. */
  private static final Duration AT_ONCE = Duration.ofMillis(1);

  private final Leadership leadership;
  private final JobTable jobs;
  private final MachineInventory inventory;
  private final LeaderRecords records;
  private final Gangs gangs;
  private final InstantSource clock;
  private final Settings.StoreLimits limits;
  private final KeyValueStoreClient state;
  private final List<TransactionSource> sources;
  private final TermExecutor executor;
  private final RandomGenerator random;
  private final LevelGate level;
  private final Listener listener;
  private final CommandDispatcher dispatcher;
  private final MachineRetirement retirement;
  private long commits;
  private boolean committing;
  private boolean planned;
  private boolean heartbeatDue;
  private Instant lastCommit = Instant.MIN;
  private int lastChanges;

  /**
   * Makes a writer.
   *
   * @param sources have more to write, behind the records of jobs and machines
   */
  RecordWriter(
      LeaderState shared,
      Environment env,
      List<TransactionSource> sources,
      TermExecutor executor,
      CommandDispatcher dispatcher,
      MachineRetirement retirement) {
    this.leadership = shared.leadership();
    this.jobs = shared.jobs();
    this.inventory = shared.inventory();
    this.records = shared.records();
    this.clock = shared.clock();
    this.gangs = shared.gangs();
    this.limits = env.settings().storeLimits();
    this.state = env.state();
    this.random = env.random();
    this.level = env.level();
    this.listener = env.listener();
    this.sources = sources;
    this.executor = executor;
    this.dispatcher = dispatcher;
    this.retirement = retirement;
  }

  /** A term has begun: nothing is under way in it. */
  void begin() {
    commits = 0;
    committing = false;
    planned = false;
  }

  /** The leader is to show that it lives, by a write if there is none to be made anyway. */
  void heartbeat() {
    heartbeatDue = true;
    plan();
  }

  /** Asks for a transaction. */
  void plan() {
    if (planned || committing || !leadership.isLeading()) {
      return;
    }
    planned = true;
    Duration wait = untilNextCommit();
    if (wait.isNegative() || wait.isZero()) {
      // After this message: what the rest of the pass decides goes along.
      executor.execute(this::commit);
    } else {
      executor.after(wait, this::commit);
    }
  }

  /** Asks for a transaction if something is due. */
  void planIfDue() {
    if (records.isDue() || sources.stream().anyMatch(TransactionSource::isDue)) {
      plan();
    }
  }

  /** A commit pays for its changes with the time until the next one. */
  private Duration untilNextCommit() {
    if (lastCommit.equals(Instant.MIN)) {
      return Duration.ZERO;
    }
    double rate = LEADERS_SHARE * limits.writesPerSecond();
    Duration pause = MessageFields.duration(lastChanges / rate);
    if (pause.compareTo(COMMIT_SPACING) < 0) {
      pause = COMMIT_SPACING;
    }
    return pause.minus(Duration.between(lastCommit, clock.instant()));
  }

  /** Writes all that is due in one transaction, guarded by the term. */
  private void commit() {
    planned = false;
    if (committing || !leadership.isReady()) {
      return;
    }
    LeaderTransaction transaction =
        new LeaderTransaction(
            limits.maxTransactionOperations(),
            leadership.term(),
            leadership.termRevision(),
            ++commits,
            level.inForce().writtenLevel());
    records.fill(transaction, inventory.catalogue().types());
    sources.forEach(source -> source.fill(transaction));
    if (transaction.isEmpty() && !heartbeatDue) {
      return;
    }
    heartbeatDue = false;
    committing = true;
    lastCommit = clock.instant();
    lastChanges = transaction.changes().size();
    state.compareAndSwap(
        transaction.guards(),
        transaction.changes(),
        executor.callback(reply -> committed(transaction, reply)));
  }

  private void committed(LeaderTransaction transaction, Reply reply) {
    if (reply.ok()) {
      committing = false;
      leadership.recordTermRevision(reply.body().path("epoch").asLong(leadership.termRevision()));
      applied(transaction);
      planIfDue();
      return;
    }
    records.writeAgain(transaction);
    sources.forEach(source -> source.writeAgain(transaction));
    List<String> failed =
        reply.status() == 409 ? KeyValueStoreClient.failedPreconditions(reply) : List.of();
    if (reply.status() == 0 || failed.contains(Keys.TERM)) {
      executor.after(reply.status() == 0 ? READ_PAUSE : AT_ONCE, this::readTerm);
    } else if (failed.contains(Keys.LEVEL)) {
      // The level of stored forms was switched: the watch says whether this build supports it.
      LOG.info("event=commit_under_former_level term={}", leadership.term());
      committing = false;
      retry();
    } else if (reply.status() == 409) {
      // Somebody was faster with these jobs, by cancelling them; the watch brings the news.
      committing = false;
      transaction.finished().stream()
          .filter(job -> failed.contains(Keys.liveJob(job.spec.id())))
          .forEach(records::withdrawEnd);
      plan();
    } else {
      if (reply.status() == 400) {
        records.refused(transaction);
      }
      LOG.info("event=commit_put_off term={} status={}", leadership.term(), reply.status());
      committing = false;
      retry();
    }
  }

  private void retry() {
    planned = true;
    executor.after(RETRY_PAUSE.plusMillis(random.nextInt(RETRY_SPREAD_MILLIS)), this::commit);
  }

  private void readTerm() {
    state.get(Keys.TERM, executor.callback(this::termRead));
  }

  /** After a transaction of unknown outcome: is the term still ours, and at which stamp? */
  private void termRead(Reply reply) {
    if (!reply.ok()) {
      executor.after(READ_PAUSE.plusMillis(random.nextInt(RETRY_SPREAD_MILLIS)), this::readTerm);
      return;
    }
    long found = reply.body().path("value").path("term").asLong();
    if (found > leadership.term()) {
      listener.higherTerm(found);
      return;
    }
    // Applied or not: what is due is still marked as due and goes out again, guarded by the
    // stamp as it is now. Should the old transaction come after all, it will find another one.
    leadership.recordTermRevision(reply.body().path("stamp").asLong(leadership.termRevision()));
    committing = false;
    retry();
  }

  private void applied(LeaderTransaction transaction) {
    records.written(transaction);
    transaction.machines().forEach(this::recorded);
    transaction.finished().forEach(this::ended);
    sources.forEach(source -> source.written(transaction));
    dispatcher.sendAllDue();
    retirement.deleteRetired();
  }

  /**
   * A machine that got another place while the transaction was under way is not recorded by it:
   * marks name machines by their places.
   */
  private void recorded(StoredMachine stored) {
    MachineRecordCodec.MachineRecord entry = stored.entry();
    Machine machine = inventory.get(entry.machine());
    if (machine != null && records.hasPlace(machine, stored)) {
      machine.recorded = true;
      machine.recordedRetiring = entry.retiring();
      machine.recordedAddress = entry.address();
      machine.recordedMaintenance = entry.maintenance();
      records.noteRecorded(machine);
    }
  }

  private void ended(Job job) {
    jobs.remove(job.spec.id());
    gangs.forget(job);
    records.close(job);
    job.durablyDoneTasks.or(job.doneTasks);
    LOG.info(
        "event=job_done term={} job={} after_ms={}",
        leadership.term(),
        job.spec.id(),
        Duration.between(job.submittedAt, clock.instant()).toMillis());
    List.copyOf(job.attempts.values()).forEach(inventory::stop);
  }
}
