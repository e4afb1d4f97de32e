package io.pearscale.coordination;

import io.pearscale.storage.Keys;
import java.util.Optional;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Whether this controller may lead. It may not while its build does not support the level of what
 * is stored, nor while a record that a leader needs can't be read here.
 */
final class Eligibility {
  private static final Logger LOG = LoggerFactory.getLogger(Eligibility.class);

  private final Supplier<Optional<String>> levelObjection;
  private Optional<String> unreadableRecord = Optional.empty();

  /** What was logged last. */
  private Optional<String> loggedObjection = Optional.empty();

  /**
   * Knows of no unreadable record yet.
   *
   * @param levelObjection why this build must not take part under the stored level, if it must not
   */
  Eligibility(Supplier<Optional<String>> levelObjection) {
    this.levelObjection = levelObjection;
  }

  /** A record that a leader needs can't be read here. */
  void recordUnreadable(String reason) {
    unreadableRecord = Optional.of(reason);
  }

  /** All keys were loaded anew: perhaps every record can be read now. */
  void snapshotLoaded() {
    unreadableRecord = Optional.empty();
  }

  /**
   * A key has changed. If a record that a leader needs was unreadable, perhaps it can be read now;
   * a new leader reads all of them anew in any case.
   *
   * @return whether it may have changed what {@link #mayLead} says
   */
  boolean keyChanged(String key) {
    if (Keys.isRequiredToLead(key) && unreadableRecord.isPresent()) {
      unreadableRecord = Optional.empty();
      return true;
    }
    return key.equals(Keys.LEVEL);
  }

  /** Whether this controller may lead now; logs the reason whenever it changes. */
  boolean mayLead() {
    Optional<String> objection = levelObjection.get().or(() -> unreadableRecord);
    if (!objection.equals(loggedObjection)) {
      loggedObjection = objection;
      LOG.warn("event=incompatible_build reason={}", objection.orElse("none any more"));
    }
    return objection.isEmpty();
  }
}
