package io.pearscale.api;

import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.MachineType;
import io.pearscale.protocol.Settings;
import io.pearscale.protocol.Settings.Team;
import io.pearscale.storage.PlacementRecordCodec;
import io.pearscale.storage.RecordLayout;
import io.pearscale.transport.HttpServer.Response;
import io.pearscale.transport.MessagePack;
import io.pearscale.upgrade.Feature;
import io.pearscale.upgrade.LevelGate;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Validates submitted jobs against the settings, the machine types and the schema level. */
final class SubmissionValidator {
  /** The maximum number of live jobs. */
  static final int MAX_LIVE_JOBS = 20_000;

  /** The delay before a retry while the machine types are unknown. */
  private static final Duration CATALOGUE_RETRY_AFTER = Duration.ofSeconds(2);

  /** The delay before a retry while too many jobs are live. */
  private static final Duration TOO_MANY_JOBS_RETRY_AFTER = Duration.ofSeconds(30);

  /**
   * The delay before a retry while the schema level is too low. The level rises within about a
   * second after the last controller announces that it supports the next level.
   */
  private static final Duration UPGRADE_RETRY_AFTER = Duration.ofSeconds(2);

  /** The tolerance for rounding errors in sums of processor cores. */
  private static final double ROUNDING_TOLERANCE = 1e-6;

  private final Settings settings;
  private final LevelGate levelGate;
  private final Map<String, Team> teams = new HashMap<>();

  /**
   * Creates a validator with the teams and limits of the settings.
   *
   * @param levelGate determines what can be stored at the current schema level
   */
  SubmissionValidator(Settings settings, LevelGate levelGate) {
    this.settings = settings;
    this.levelGate = levelGate;
    settings.teams().forEach(team -> teams.put(team.name(), team));
  }

  /**
   * Returns the response that refuses a new job; empty if the job can be accepted.
   *
   * @param machineTypes the machine types of the cloud; empty while they are unknown
   * @param liveJobCount the number of live jobs
   */
  Optional<Response> refusal(JobSpec spec, List<MachineType> machineTypes, int liveJobCount) {
    if (machineTypes.isEmpty()) {
      return Optional.of(
          Response.unavailable(CATALOGUE_RETRY_AFTER, "machine types unknown as yet"));
    }
    if (liveJobCount >= MAX_LIVE_JOBS) {
      return Optional.of(Response.unavailable(TOO_MANY_JOBS_RETRY_AFTER, "too many jobs"));
    }
    Team team = teams.get(spec.team());
    if (team == null) {
      return reject("unknown team");
    }
    return gangRefusal(spec)
        .or(() -> quotaRefusal(spec, team))
        .or(() -> zoneRefusal(spec))
        .or(() -> recordSizeRefusal(spec, team))
        .or(() -> machineTypeRefusal(spec, machineTypes));
  }

  private static Optional<Response> quotaRefusal(JobSpec spec, Team team) {
    int simultaneousTasks = spec.isService() || spec.isGang() ? spec.tasks() : 1;
    return exceeds(simultaneousTasks * spec.cpus(), team.cpuLimit())
            || exceeds(simultaneousTasks * spec.gpus(), team.gpuLimit())
        ? reject("beyond the team's limit")
        : Optional.empty();
  }

  /** Returns whether the amount exceeds the limit. A limit of 0 means no limit. */
  private static boolean exceeds(double amount, double limit) {
    return limit > 0 && amount > limit + ROUNDING_TOLERANCE;
  }

  private static Optional<Response> zoneRefusal(JobSpec spec) {
    return spec.spreadAcrossZones()
            && spec.tasks() > 1
            && (spec.singleZone() || spec.zone().isPresent())
        ? reject("tasks must spread over zones and stay in one")
        : Optional.empty();
  }

  private static Optional<Response> machineTypeRefusal(
      JobSpec spec, List<MachineType> machineTypes) {
    return machineTypes.stream().anyMatch(spec::allowsInSomeZone)
        ? Optional.empty()
        : reject("no allowed machine type is large enough");
  }

  /**
   * Refuses a job whose placement records exceed the maximum value size of the key-value store,
   * because none of its tasks could ever start. The refusal is temporary if a later schema level
   * stores the job in smaller partitions.
   */
  private Optional<Response> recordSizeRefusal(JobSpec spec, Team team) {
    int maxValueBytes = settings.storeLimits().maxValueBytes();
    if (maxRecordSize(spec, team, RecordLayout.ofLevel(levelGate.currentLevel().writtenLevel()))
        <= maxValueBytes) {
      return Optional.empty();
    }
    return maxRecordSize(spec, team, RecordLayout.NUMBERED) <= maxValueBytes
            && levelGate.supports(Feature.SMALL_VALUES)
        ? Optional.of(
            Response.unavailable(UPGRADE_RETRY_AFTER, "not all controllers take so many tasks yet"))
        : reject("its tasks can't be recorded in values of " + maxValueBytes + " bytes");
  }

  private static int maxRecordSize(JobSpec spec, Team team, RecordLayout layout) {
    int quotaClaimBytes =
        team.hasQuotaLimit()
            ? new PlacementRecordCodec.QuotaClaim(
                    spec.team(), spec.cpus(), spec.gpus(), spec.memoryGb())
                .maxEncodedSize()
            : 0;
    return PlacementRecordCodec.maxEncodedSize(
            spec.id(), Math.min(spec.tasks(), layout.tasksPerPartition()), layout)
        + quotaClaimBytes;
  }

  private Optional<Response> gangRefusal(JobSpec spec) {
    if (!spec.isGang()) {
      return Optional.empty();
    }
    if (settings.agents().gangs().isEmpty()) {
      return reject("the settings name no gang_wait_s and gang_peer_s: gangs are not served");
    }
    return levelGate.isEnabled(Feature.GANG_JOBS)
        ? Optional.empty()
        : Optional.of(
            Response.unavailable(UPGRADE_RETRY_AFTER, "not all controllers serve gangs yet"));
  }

  private static Optional<Response> reject(String reason) {
    return Optional.of(Response.of(422, MessagePack.map().put("error", reason)));
  }
}
