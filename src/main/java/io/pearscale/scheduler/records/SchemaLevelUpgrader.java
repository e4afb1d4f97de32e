package io.pearscale.scheduler.records;

import com.fasterxml.jackson.databind.JsonNode;
import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.storage.Keys;
import io.pearscale.storage.StoreReplicaActor.Entry;
import io.pearscale.storage.StoreReplicaActor.KeyChange;
import io.pearscale.upgrade.ControllerSupport;
import io.pearscale.upgrade.LevelGate;
import io.pearscale.upgrade.UpgradePlan;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Raises the schema level automatically once every configured controller has announced that its
 * build supports a higher one. The change is written in a normal transaction of the leader. Its
 * preconditions are the leader's term, the level that the leader knows, and the announcements on
 * which the change is based: if any of them has changed, nothing is written. After the change,
 * controllers that do not support the new level are excluded.
 */
public final class SchemaLevelUpgrader implements TransactionContributor {
  private static final Logger LOG = LoggerFactory.getLogger(SchemaLevelUpgrader.class);
  private static final Duration ATTEMPT_INTERVAL = Duration.ofSeconds(1);

  /** The levels that a controller has announced, and the revision of the announcement. */
  private record MemberAnnouncement(ControllerSupport support, long revision) {}

  private final LevelGate levelGate;
  private final Set<String> controllers;
  private final InstantSource clock;
  private final Map<String, MemberAnnouncement> announcements = new TreeMap<>();
  private Instant nextAttemptAt = Instant.MIN;

  /**
   * Creates an upgrader.
   *
   * @param controllers all configured controllers
   */
  public SchemaLevelUpgrader(LevelGate levelGate, Set<String> controllers, InstantSource clock) {
    this.levelGate = levelGate;
    this.controllers = Set.copyOf(controllers);
    this.clock = clock;
  }

  /** Removes all announcements before a new snapshot is delivered. */
  public void clearAnnouncements() {
    announcements.clear();
  }

  /** Applies a change of an announcement; an announcement that can't be read counts as absent. */
  public void applyAnnouncement(KeyChange change) {
    String host = Keys.lastSegment(change.key());
    announcements.remove(host);
    change
        .entry()
        .flatMap(SchemaLevelUpgrader::announcementOf)
        .ifPresent(announcement -> announcements.put(host, announcement));
  }

  private static Optional<MemberAnnouncement> announcementOf(Entry entry) {
    try {
      return Optional.of(
          new MemberAnnouncement(ControllerSupport.parse(entry.value()), entry.revision()));
    } catch (MalformedMessageException e) {
      return Optional.empty();
    }
  }

  private Optional<UpgradePlan.LevelChange> nextStep() {
    Map<String, ControllerSupport> members = new TreeMap<>();
    announcements.forEach((host, announcement) -> members.put(host, announcement.support));
    UpgradePlan plan = new UpgradePlan(levelGate.currentLevel(), controllers, members, Map.of());
    return plan.automaticUpgrade(levelGate.supported()) instanceof UpgradePlan.LevelChange change
        ? Optional.of(change)
        : Optional.empty();
  }

  @Override
  public boolean isDue() {
    return !clock.instant().isBefore(nextAttemptAt) && nextStep().isPresent();
  }

  @Override
  public void contribute(LeaderTransaction transaction) {
    Optional<UpgradePlan.LevelChange> step = isDue() ? nextStep() : Optional.empty();
    if (step.isPresent() && transaction.hasCapacity()) {
      nextAttemptAt = clock.instant().plus(ATTEMPT_INTERVAL);
      JsonNode record = step.get().next().toNode(levelGate.storedRecord());
      LOG.info("event=schema_level_raised level={}", step.get().next().level());
      controllers.forEach(
          host ->
              transaction.addPrecondition(
                  Keys.supportRecord(host), announcements.get(host).revision));
      transaction.addSchemaLevel(record);
    }
  }

  @Override
  public void onApplied(LeaderTransaction transaction) {
    // The watch delivers the new level to this controller, as to all others.
  }

  @Override
  public void onNotApplied(LeaderTransaction transaction) {
    // No state to restore: the next change is determined from the stored announcements and level.
  }
}
