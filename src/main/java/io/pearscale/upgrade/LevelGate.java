package io.pearscale.upgrade;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.transport.MessagePack;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Decides from the stored schema level whether this controller may lead, write stored state, and
 * respond to requests about it.
 *
 * <p>Invariant: every write is conditional on the revision of the schema level that was current
 * when the write was decided. A controller that missed a level change, or was suspended during one,
 * therefore changes nothing.
 *
 * <p>An unreadable level is not treated as level 0. It was either written by a later release or is
 * corrupted, and in both cases the format of the other records is unknown.
 */
public final class LevelGate {
  /** The revision in a precondition on a key that does not exist. */
  private static final long ABSENT_REVISION = 0;

  private final SupportedLevels supported;
  private long revision = ABSENT_REVISION;
  private SchemaLevel currentLevel = SchemaLevel.UNVERSIONED;
  private JsonNode storedRecord = MessagePack.MISSING;
  private Optional<String> incompatibility;

  /** Creates a gate for a build that supports the given levels; starts at level 0. */
  public LevelGate(SupportedLevels supported) {
    this.supported = supported;
    this.incompatibility = incompatibilityOf(SchemaLevel.UNVERSIONED);
  }

  /** Applies a change of the stored level; {@code value} is empty if the record was deleted. */
  public void update(Optional<JsonNode> value, long newRevision) {
    revision = value.isPresent() ? newRevision : ABSENT_REVISION;
    storedRecord = value.orElse(MessagePack.MISSING);
    incompatibility = evaluate(value);
  }

  /**
   * Returns the revision of the schema level, which is a precondition of every write; empty if
   * nothing may be written. A write that was decided before a level change must not be sent after
   * it: neither with the old revision, nor with the new one, because its records have the old
   * format.
   */
  public OptionalLong writeRevision() {
    return incompatibility.isEmpty() ? OptionalLong.of(revision) : OptionalLong.empty();
  }

  /** Returns why this controller must not participate in the cluster; empty if it may. */
  public Optional<String> incompatibility() {
    return incompatibility;
  }

  /** Returns the current schema level; undefined while there is an incompatibility. */
  public SchemaLevel currentLevel() {
    return currentLevel;
  }

  /** Returns the schema levels that this build supports. */
  public SupportedLevels supported() {
    return supported;
  }

  /** Returns whether this build supports the feature, regardless of the current level. */
  public boolean supports(Feature feature) {
    return supported.contains(feature.requiredLevel());
  }

  /** Returns whether the feature may be used at the current level. */
  public boolean isEnabled(Feature feature) {
    return feature.isEnabledAt(currentLevel);
  }

  /** Returns the stored record of the schema level; a missing node if there is none. */
  public JsonNode storedRecord() {
    return storedRecord;
  }

  /** Returns the record to store once the migration to the written level is complete. */
  public ObjectNode migrationCompletedRecord() {
    return currentLevel.migrationCompleted().toNode(storedRecord);
  }

  private Optional<String> evaluate(Optional<JsonNode> value) {
    try {
      currentLevel = SchemaLevel.fromStored(value);
      return incompatibilityOf(currentLevel);
    } catch (MalformedMessageException e) {
      return Optional.of("the level of the stored state can't be read: " + e.getMessage());
    }
  }

  private Optional<String> incompatibilityOf(SchemaLevel schemaLevel) {
    return supported.contains(schemaLevel.level())
        ? Optional.empty()
        : Optional.of(
            "the stored state is at level "
                + schemaLevel.level()
                + ", this build supports "
                + supported);
  }
}
