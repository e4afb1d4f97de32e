package io.pearscale.coordination;

import io.pearscale.storage.Keys;
import java.util.Optional;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides whether this controller may lead. A controller may not lead while its build does not
 * support the stored schema level, or while it can't read a record that a leader needs.
 */
final class Eligibility {
  private static final Logger LOG = LoggerFactory.getLogger(Eligibility.class);

  private final Supplier<Optional<String>> levelObjection;
  private Optional<String> unreadableRecord = Optional.empty();

  /** The most recently logged objection. */
  private Optional<String> loggedObjection = Optional.empty();

  /**
   * Creates an eligibility that knows of no unreadable record.
   *
   * @param levelObjection the reason why this build must not take part under the stored schema
   *     level; empty if it may
   */
  Eligibility(Supplier<Optional<String>> levelObjection) {
    this.levelObjection = levelObjection;
  }

  /** Records that this controller can't read a record that a leader needs. */
  void recordUnreadable(String reason) {
    unreadableRecord = Optional.of(reason);
  }

  /**
   * Clears the unreadable record after a load of all keys, because every record may now be
   * readable.
   */
  void snapshotLoaded() {
    unreadableRecord = Optional.empty();
  }

  /**
   * Handles a change of a key. If a record that a leader needs was unreadable and such a record
   * changes, the record may now be readable. Clearing the objection is safe, because a new leader
   * reads all of these records again.
   *
   * @return whether the change may affect the result of {@link #mayLead}
   */
  boolean keyChanged(String key) {
    if (Keys.isRequiredToLead(key) && unreadableRecord.isPresent()) {
      unreadableRecord = Optional.empty();
      return true;
    }
    return key.equals(Keys.LEVEL);
  }

  /** Returns whether this controller may lead, and logs the reason whenever it changes. */
  boolean mayLead() {
    Optional<String> objection = levelObjection.get().or(() -> unreadableRecord);
    if (!objection.equals(loggedObjection)) {
      loggedObjection = objection;
      LOG.warn("event=incompatible_build reason={}", objection.orElse("none"));
    }
    return objection.isEmpty();
  }
}
