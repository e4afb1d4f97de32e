package io.pearscale.upgrade;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.transport.MessagePack;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Decides from the stored schema level whether this controller may lead, write, and answer for
 * stored state.
 *
 * <p>Invariant: every write is conditional on the revision of the level under which it was decided,
 * so a controller that has missed a change of level, or was suspended during it, changes nothing.
 *
 * <p>A level that can't be read is not taken for level 0: it was written by a later release, or is
 * damaged, and in both cases nothing is known of the other records' form.
 */
public final class LevelGate {
  /** The revision of a key that does not exist. */
  private static final long ABSENT_REVISION = 0;

  private final SupportedLevels supported;
  private long revision = ABSENT_REVISION;
  private SchemaLevel currentLevel = SchemaLevel.UNVERSIONED;
  private JsonNode storedRecord = MessagePack.MISSING;
  private Optional<String> incompatibility;

  /** Creates a gate for a build that supports those levels; level 0 is in force until updated. */
  public LevelGate(SupportedLevels supported) {
    this.supported = supported;
    this.incompatibility = incompatibilityOf(SchemaLevel.UNVERSIONED);
  }

  /** Applies a change of the stored level; empty if there is none any more. */
  public void update(Optional<JsonNode> value, long newRevision) {
    revision = value.isPresent() ? newRevision : ABSENT_REVISION;
    storedRecord = value.orElse(MessagePack.MISSING);
    incompatibility = evaluate(value);
  }

  /**
   * The level's revision, a precondition of every write; empty if nothing may be written. A write
   * decided before a change of level and sent after it must neither go out under the old revision,
   * nor, since it has the old form, under the new one.
   */
  public OptionalLong writeRevision() {
    return incompatibility.isEmpty() ? OptionalLong.of(revision) : OptionalLong.empty();
  }

  /** Why this controller must not take part; empty if it may. */
  public Optional<String> incompatibility() {
    return incompatibility;
  }

  /** The level in force; meaningless while there is an objection. */
  public SchemaLevel currentLevel() {
    return currentLevel;
  }

  /** The levels that the build supports. */
  public SupportedLevels supported() {
    return supported;
  }

  /** Whether the build supports the feature, whichever level is in force. */
  public boolean supports(Feature feature) {
    return supported.contains(feature.requiredLevel());
  }

  /** Whether the feature may be used at the level in force. */
  public boolean isEnabled(Feature feature) {
    return feature.isEnabledAt(currentLevel);
  }

  /** The stored record of the level; a missing node if there is none. */
  public JsonNode storedRecord() {
    return storedRecord;
  }

  /** The record to store once the migration to the written level is complete. */
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
