package io.pearscale.scheduler;

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
 * Raises the level of stored forms by itself, once every controller of the settings has said that
 * its build supports a higher one. The step is a write of the leader like any other, guarded by its
 * term and the level that it knows, and besides by the words on which it rests: should one of them
 * have changed, nothing is written. From then on whoever does not support the level is kept out.
 */
final class LevelRaiser implements TransactionSource {
  private static final Logger LOG = LoggerFactory.getLogger(LevelRaiser.class);
  private static final Duration SPACING = Duration.ofSeconds(1);

  /** What a controller says of itself, and the stamp of that. */
  private record Word(MemberSupport support, long stamp) {}

  private final LevelGate gate;
  private final Set<String> hosts;
  private final InstantSource clock;
  private final Map<String, Word> words = new TreeMap<>();
  private Instant next = Instant.MIN;

  /**
   * Makes a raiser.
   *
   * @param hosts all configured controllers
   */
  LevelRaiser(LevelGate gate, Set<String> hosts, InstantSource clock) {
    this.gate = gate;
    this.hosts = Set.copyOf(hosts);
    this.clock = clock;
  }

  /** All keys are about to be read anew. */
  void forgetStored() {
    words.clear();
  }

  /** The word of a controller has changed; one that can't be read says nothing. */
  void storedChanged(KeyChange change) {
    String host = Keys.lastSegment(change.key());
    words.remove(host);
    change.entry().flatMap(LevelRaiser::wordOf).ifPresent(word -> words.put(host, word));
  }

  private static Optional<Word> wordOf(Entry entry) {
    try {
      return Optional.of(new Word(MemberSupport.parse(entry.value()), entry.revision()));
    } catch (MalformedMessageException e) {
      return Optional.empty();
    }
  }

  private Optional<UpgradePlan.LevelChange> step() {
    Map<String, MemberSupport> members = new TreeMap<>();
    words.forEach((host, word) -> members.put(host, word.support));
    UpgradePlan plan = new UpgradePlan(gate.inForce(), hosts, members, Map.of());
    return plan.automaticUpgrade(gate.supported()) instanceof UpgradePlan.LevelChange change
        ? Optional.of(change)
        : Optional.empty();
  }

  @Override
  public boolean isDue() {
    return !clock.instant().isBefore(next) && step().isPresent();
  }

  @Override
  public void fill(LeaderTransaction transaction) {
    Optional<UpgradePlan.LevelChange> step = isDue() ? step() : Optional.empty();
    if (step.isPresent() && transaction.hasRoom()) {
      next = clock.instant().plus(SPACING);
      JsonNode record = step.get().next().toNode(gate.stored());
      LOG.info("event=level_raised level={}", step.get().next().level());
      hosts.forEach(host -> transaction.addGuard(Keys.member(host), words.get(host).stamp));
      transaction.addLevel(record);
    }
  }

  @Override
  public void written(LeaderTransaction transaction) {
    // The watch brings the level, to this controller as to all others.
  }

  @Override
  public void writeAgain(LeaderTransaction transaction) {
    // What was to be written follows from what is stored.
  }
}
