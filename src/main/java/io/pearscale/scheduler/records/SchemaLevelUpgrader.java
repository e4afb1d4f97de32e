package io.pearscale.scheduler.records;

import com.fasterxml.jackson.databind.JsonNode;
import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.storage.Keys;
import io.pearscale.storage.StoreReplicaActor.Entry;
import io.pearscale.storage.StoreReplicaActor.KeyChange;
import io.pearscale.upgrade.LevelGate;
import io.pearscale.upgrade.MemberSupport;
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
 * Raises the schema level automatically, once every configured controller has announced that its
 * build supports a higher one. The step is a compare-and-swap of the leader like any other, on the
 * condition of its term and the level that it knows, and also of the announcements on which it
 * rests: should one of them have changed, nothing is written. From then on controllers that do not
 * support the level are kept out.
 */
public final class SchemaLevelUpgrader implements TransactionContributor {
  private static final Logger LOG = LoggerFactory.getLogger(SchemaLevelUpgrader.class);
  private static final Duration ATTEMPT_INTERVAL = Duration.ofSeconds(1);

  /** The levels that a controller has announced, and the revision of the announcement. */
  private record MemberAnnouncement(MemberSupport support, long revision) {}

  private final LevelGate gate;
  private final Set<String> hosts;
  private final InstantSource clock;
  private final Map<String, MemberAnnouncement> announcements = new TreeMap<>();
  private Instant nextAttemptAt = Instant.MIN;

  /**
   * Creates an upgrader.
   *
   * @param hosts all configured controllers
   */
  public SchemaLevelUpgrader(LevelGate gate, Set<String> hosts, InstantSource clock) {
    this.gate = gate;
    this.hosts = Set.copyOf(hosts);
    this.clock = clock;
  }

  /** Forgets all announcements: a new snapshot is about to be delivered. */
  public void forgetStored() {
    announcements.clear();
  }

  /** Applies a changed announcement; one that can't be read counts as absent. */
  public void storedChanged(KeyChange change) {
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
          new MemberAnnouncement(MemberSupport.parse(entry.value()), entry.revision()));
    } catch (MalformedMessageException e) {
      return Optional.empty();
    }
  }

  private Optional<UpgradePlan.LevelChange> nextStep() {
    Map<String, MemberSupport> members = new TreeMap<>();
    announcements.forEach((host, announcement) -> members.put(host, announcement.support));
    UpgradePlan plan = new UpgradePlan(gate.currentLevel(), hosts, members, Map.of());
    return plan.automaticUpgrade(gate.supported()) instanceof UpgradePlan.LevelChange change
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
      JsonNode record = step.get().next().toNode(gate.storedRecord());
      LOG.info("event=schema_level_raised level={}", step.get().next().level());
      hosts.forEach(
          host -> transaction.addPrecondition(Keys.member(host), announcements.get(host).revision));
      transaction.addLevel(record);
    }
  }

  @Override
  public void onApplied(LeaderTransaction transaction) {
    // The watch brings the level, to this controller as to all others.
  }

  @Override
  public void onNotApplied(LeaderTransaction transaction) {
    // What was to be written follows from what is stored.
  }
}
