package io.pearscale.scheduler;

import io.pearscale.protocol.Heartbeat;
import io.pearscale.protocol.Heartbeat.TaskStatus;
import io.pearscale.protocol.JobSpec;
import io.pearscale.scheduler.Machine.Ended;
import io.pearscale.scheduler.Machine.Life;
import io.pearscale.scheduler.TaskAttempt.Stage;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Takes in what workers say, from whichever way it came, and with it the proofs of where tasks are
 * and are not.
 */
final class HeartbeatProcessor {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatProcessor.class);

  /** Whoever refused a start is left alone for so long. */
  private static final Duration REFUSAL_PAUSE = Duration.ofSeconds(2);

  private final Leadership leadership;
  private final JobTable jobs;
  private final MachineInventory inventory;
  private final LeaderRecords records;
  private final InstantSource clock;
  private final Runnable requestPass;
  private final FaultAttribution failures;
  private final GracefulTermination stops;
  private final Gangs gangs;
  private final LeaderStatistics statistics;
  private final DecisionLog decisions;

  HeartbeatProcessor(
      LeaderState state,
      FaultAttribution failures,
      GracefulTermination stops,
      LeaderStatistics statistics) {
    this.leadership = state.leadership();
    this.jobs = state.jobs();
    this.inventory = state.inventory();
    this.records = state.records();
    this.clock = state.clock();
    this.requestPass = state.requestPass();
    this.failures = failures;
    this.stops = stops;
    this.gangs = state.gangs();
    this.statistics = statistics;
    this.decisions = state.decisions();
  }

  /**
   * Takes in what a worker says, from whichever way it came. The message must be a newer one.
   *
   * @param received whether it shows that what we say reaches the machine
   */
  void absorb(Machine m, Heartbeat r, boolean received) {
    noteReported(m, r);
    if (!m.settled) {
      if (!leadership.isOfThisTerm(r.token())) {
        // It has not heard of this term, or is a late copy: it says nothing of what an old command
        // may yet do, nor that the machine is alive.
        return;
      }
      m.settled = true;
      requestPass.run();
    }
    noteAlive(m, r, received);
    Map<Ended, Long> oldEnded = new HashMap<>(m.ended);
    m.ended.clear();
    Map<Ended, Instant> oldForeign = new HashMap<>(m.foreign);
    m.foreign.clear();
    Set<TaskAttempt> seen = new HashSet<>();
    for (TaskStatus t : r.tasks()) {
      if (t.stage() == Heartbeat.Stage.ENDED) {
        absorbEnded(m, r, t, oldEnded);
      } else {
        absorbPresent(m, r, t, oldForeign).ifPresent(seen::add);
      }
    }
    removeUnseen(m, r, seen);
    if (m.takenAt.isPresent()) {
      prepareForNotice(m);
    }
    if (!m.foreign.isEmpty()) {
      inventory.noteCommandDue(m);
    }
  }

  /** Takes in what a report says of the machine itself, whatever term it has heard of. */
  private void noteReported(Machine m, Heartbeat r) {
    Instant now = clock.instant();
    noteSession(m, r, now);
    m.seenToken = Math.max(m.seenToken, r.token());
    m.address = r.address();
    if (m.life == Life.BOOTING) {
      m.life = Life.UP;
    }
    if (m.recorded && !m.recordedAddress.equals(m.address)) {
      m.recordedAddress = m.address;
      records.recordMachineUnhurried(m);
    }
    if (!m.everReported) {
      m.everReported = true;
      LOG.info(
          "event=machine_up term={} machine={} type={} zone={} spot={} after_ms={}",
          leadership.term(),
          m.name,
          m.type.name(),
          m.zone,
          m.spot,
          Duration.between(m.rented, now).toMillis());
    }
  }

  /** Takes in the session; one that was not expected is worth a line in the log. */
  private void noteSession(Machine m, Heartbeat r, Instant now) {
    long former = m.lease.session();
    boolean isNew = m.lease.shown(r, now);
    if (isNew && (m.lost || (former > 0 && r.session() > former))) {
      decisions.sessionBegan(m, r, former);
    }
  }

  /** Notes that a machine lives, and for how long it will. */
  private void noteAlive(Machine m, Heartbeat r, boolean received) {
    Instant now = clock.instant();
    if (received) {
      m.heard = now;
      if (m.missedProbes > 0) {
        m.missedProbes = 0;
        m.directAfter = now;
      }
    }
    m.lost = false;
    if (r.notice().isPresent() && m.takenAt.isEmpty()) {
      LOG.info(
          "event=spot_notice term={} machine={} left={}",
          leadership.term(),
          m.name,
          r.notice().get());
    }
    m.takenAt = r.notice().map(now::plus);
  }

  /** The job of a reported task; empty when it is over or has no such task. */
  private Optional<Job> jobOf(TaskStatus t) {
    return Optional.ofNullable(jobs.get(t.task().job()))
        .filter(job -> t.task().index() < job.spec.tasks());
  }

  /** What is known of a reported attempt; one that a former leader gave is known from now on. */
  private Optional<TaskAttempt> placementOf(Machine m, Heartbeat r, TaskStatus t) {
    TaskAttempt p = m.placements.get(t.task());
    if (p != null && p.attempt < 0) {
      p.attempt = t.attempt();
      p.token = r.token();
      p.session = r.session();
    }
    return Optional.ofNullable(p).filter(known -> known.attempt == t.attempt());
  }

  private void absorbEnded(Machine m, Heartbeat r, TaskStatus t, Map<Ended, Long> oldEnded) {
    Optional<TaskAttempt> placement = placementOf(m, r, t);
    // What is done stays done however often it is started: no token need be raised for it.
    long started = t.cause().equals("done") ? -1 : placement.map(p -> p.token).orElse(m.token);
    Ended key = new Ended(t.task(), t.attempt());
    m.ended.put(key, oldEnded.getOrDefault(key, started));
    placement.ifPresent(p -> inventory.remove(p, AbsenceProof.ENDED));
    ended(m, jobOf(t).orElse(null), t, placement.orElse(null));
  }

  /** Takes in a task that is on the machine; empty if it must not be there. */
  private Optional<TaskAttempt> absorbPresent(
      Machine m, Heartbeat r, TaskStatus t, Map<Ended, Instant> oldForeign) {
    Optional<Job> job = jobOf(t);
    Optional<TaskAttempt> placement = placementOf(m, r, t);
    if (placement.isEmpty() && job.isPresent() && !job.get().done.get(t.task().index())) {
      placement = adopt(job.get(), m, r, t);
    }
    if (placement.isEmpty()) {
      Ended key = new Ended(t.task(), t.attempt());
      m.foreign.put(key, oldForeign.getOrDefault(key, Instant.MIN));
    }
    placement.ifPresent(p -> progress(p, t.stage()));
    return placement;
  }

  /** Takes a task over that nobody knew to be here; empty if it is known to be elsewhere. */
  private Optional<TaskAttempt> adopt(Job job, Machine m, Heartbeat r, TaskStatus t) {
    TaskAttempt other = job.placed.get(t.task().index());
    if (other != null && other.stage == Stage.PLANNED) {
      inventory.remove(other, AbsenceProof.NOT_SENT);
      other = null;
    }
    if (other != null) {
      LOG.error(
          "event=task_twice task={} machine={} other={}", t.task(), m.name, other.machine.name);
      return Optional.empty();
    }
    TaskAttempt adopted = new TaskAttempt(job, t.task(), t.attempt(), m, Stage.SENT, job.submitted);
    adopted.token = r.token();
    adopted.session = r.session();
    inventory.add(adopted);
    records.recordTask(adopted);
    return Optional.of(adopted);
  }

  /** What is not in the report is gone only if no command for it can still be on its way. */
  private void removeUnseen(Machine m, Heartbeat r, Set<TaskAttempt> seen) {
    for (TaskAttempt p : List.copyOf(m.placements.values())) {
      if (p.stage == Stage.PLANNED || seen.contains(p)) {
        continue;
      }
      if (p.session < r.session()) {
        inventory.remove(p, AbsenceProof.LATER_SESSION);
      } else if (p.confirmed || p.token < r.token()) {
        inventory.remove(p, AbsenceProof.NOT_REPORTED);
      }
    }
  }

  private void progress(TaskAttempt p, Heartbeat.Stage stage) {
    p.confirmed = true;
    Stage before = p.stage;
    p.stage =
        switch (stage) {
          case FETCHING -> Stage.FETCHING;
          case WAITING -> Stage.WAITING;
          case FLUSHING -> Stage.SAVING;
          default -> Stage.RUNNING;
        };
    if (p.stage == Stage.RUNNING && before != Stage.RUNNING) {
      LOG.debug(
          "event=running term={} machine={} task={} attempt={} since_submit_ms={} since_start_ms={}",
          leadership.term(),
          p.machine.name,
          p.task,
          p.attempt,
          Duration.between(p.job.submitted, clock.instant()).toMillis(),
          Duration.between(p.since, clock.instant()).toMillis());
      p.machine.noteImage(p.job.spec.image(), p.job.spec.imageGb());
      Instant now = clock.instant();
      if (before.compareTo(Stage.RUNNING) < 0) {
        statistics.started(Duration.between(p.since, now));
      }
      p.since = now;
    }
  }

  private void ended(Machine m, Job job, TaskStatus t, TaskAttempt p) {
    if (job == null) {
      return;
    }
    switch (t.cause()) {
      case "done" -> {
        failures.succeeded(m, job);
        if (!job.spec.service() && !job.done.get(t.task().index())) {
          completed(job, t.task().index());
        }
      }
      case "error" -> {
        if (p != null) {
          failures.failed(m, job);
        }
      }
      case "stopped" -> {
        // As it was told.
      }
      case "alone", "mates_gone" -> gangs.noteBroken(job, t.attempt());
      default -> {
        if (p != null) {
          refused(m, job, t);
        }
      }
    }
  }

  /** A task is done, for the first time as far as known here. */
  private void completed(Job job, int index) {
    if (job.spec.gang()) {
      // Its tasks complete together: whoever shows it first decides for all.
      job.done.set(0, job.spec.tasks());
      jobs.requeue(job);
      records.recordEnd(job);
      return;
    }
    TaskAttempt other = job.placed.get(index);
    if (other != null) {
      inventory.stop(other);
    }
    job.done.set(index);
    jobs.requeue(job);
    if (job.complete()) {
      records.recordEnd(job);
    } else {
      records.recordProgress(job, index);
    }
  }

  /** The worker would not start the task: what is known of the machine or the job is wrong. */
  private void refused(Machine m, Job job, TaskStatus t) {
    LOG.info(
        "event=start_refused term={} machine={} task={} attempt={} cause={}",
        leadership.term(),
        m.name,
        t.task(),
        t.attempt(),
        t.cause());
    Instant later = clock.instant().plus(REFUSAL_PAUSE);
    if (t.cause().equals("no_such")) {
      job.notBefore = later;
    } else {
      m.avoidUntil = later;
    }
  }

  /** A machine that will be taken: saves what can be saved and moves what can't finish. */
  private void prepareForNotice(Machine m) {
    Instant now = clock.instant();
    Duration left = Duration.between(now, m.takenAt.orElse(now));
    for (TaskAttempt p : List.copyOf(m.placements.values())) {
      if (p.stopping) {
        continue;
      }
      JobSpec s = p.job.spec;
      boolean saves = !s.checkpoint().isZero();
      Duration ran = Duration.between(p.since, now);
      boolean running = p.stage == Stage.RUNNING;
      Duration remaining = running ? s.estimate().minus(ran) : s.estimate();
      if (saves ? left.compareTo(s.save().plusSeconds(4)) < 0 || !running : false) {
        stops.stop(p);
      } else if (s.service() || (!saves && remaining.compareTo(left.multipliedBy(2)) > 0)) {
        stops.stop(p);
      }
    }
  }
}
