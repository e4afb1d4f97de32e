package io.pearscale.scheduler.maintenance;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.drain.DisruptionBudget;
import io.pearscale.drain.DisruptionBudget.Availability;
import io.pearscale.drain.DisruptionLedger;
import io.pearscale.drain.DrainRequest;
import io.pearscale.drain.DrainStatus;
import io.pearscale.scheduler.model.GangTracker;
import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.JobTable;
import io.pearscale.scheduler.model.LeaderState;
import io.pearscale.scheduler.model.Leadership;
import io.pearscale.storage.Keys;
import io.pearscale.transport.MessagePack;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;

/**
 * Publishes the status that operators' commands show: disruption budgets, disruptions, drains and
 * queued jobs.
 */
final class StatusPublisher {
  /** Granularity of the published time; it keeps an unchanged status from being written often. */
  private static final Duration TIMESTAMP_GRANULARITY = Duration.ofSeconds(10);

  /** Estimated bytes of a reason with its job id; reasons may take half of a value. */
  private static final int REASON_BYTES = 200;

  private final Leadership leadership;
  private final JobTable jobs;
  private final GangTracker gangs;
  private final DisruptionLedger ledger;
  private final PublishedRecords published;
  private final InstantSource wallClock;
  private final int maxReasons;

  StatusPublisher(
      LeaderState state,
      DisruptionLedger ledger,
      PublishedRecords published,
      InstantSource wallClock,
      int maxValueBytes) {
    this.leadership = state.leadership();
    this.jobs = state.jobs();
    this.gangs = state.gangs();
    this.ledger = ledger;
    this.published = published;
    this.wallClock = wallClock;
    this.maxReasons = Math.max(1, maxValueBytes / 2 / REASON_BYTES);
  }

  /** Publishes the status of drains, given by id. */
  void publish(Map<String, DrainStatus> drains) {
    drains.forEach(
        (id, status) -> published.publish(Keys.drainStatus(id), status.toNode(maxReasons)));
  }

  /** Publishes that a drain can't start until the schema level is raised. */
  void publishBlockedByLevel(DrainRequest request) {
    DrainStatus status =
        new DrainStatus(
            DrainStatus.State.REQUESTED,
            0,
            0,
            0,
            0,
            0,
            List.of("level 1 of the stored state is needed: pearscale upgrade finalise"));
    publish(Map.of(request.id(), status));
  }

  /** Publishes the status of the cluster. */
  void publishCluster() {
    // Rounded, so that an unchanged status causes at most one write per step.
    long step = TIMESTAMP_GRANULARITY.toMillis();
    long at = wallClock.instant().toEpochMilli() / step * step;
    ObjectNode node = MessagePack.map().put("term", leadership.term()).put("atMs", at);
    var list = node.putArray("budgets");
    for (DisruptionBudget budget : ledger.budgets()) {
      Availability availability = ledger.availabilityUnder(budget);
      list.addObject()
          .put("budget", budget.toString())
          .put("tasks", availability.total())
          .put("down", availability.unavailable());
    }
    var disrupted = node.putArray("disrupted");
    ledger.openDisruptions().stream()
        .limit(maxReasons)
        .forEach(d -> disrupted.add(d.task().toString()));
    ObjectNode waiting = node.putObject("waiting");
    for (Job job : jobs.queued()) {
      putReason(waiting, job);
    }
    for (Job job : jobs.gangs()) {
      if (gangs.isWaiting(job)) {
        putReason(waiting, job);
      }
    }
    published.publish(Keys.STATUS, node);
  }

  private void putReason(ObjectNode waiting, Job job) {
    if (waiting.size() < maxReasons) {
      waiting.put(job.spec().id(), waitReason(job));
    }
  }

  private String waitReason(Job job) {
    if (job.failures().failsEverywhere()) {
      return "it failed wherever it was tried, and is tried ever more rarely";
    }
    if (job.spec().isGang() && gangs.isWaiting(job)) {
      return gangs.waitReason(job);
    }
    if (!job.isUnschedulable()) {
      return "for the next pass";
    }
    return job.spec().isGang()
        ? "the last pass found no room for all %d tasks of its gang at once%s, within its team's limit"
            .formatted(job.spec().tasks(), job.spec().singleZone() ? " in one zone" : "")
        : "the last pass found no machine with room for one of its tasks, within its team's limit";
  }
}
