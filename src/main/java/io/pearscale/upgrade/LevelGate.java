package io.pearscale.upgrade;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.transport.MessagePack;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Decides from the stored level whether this controller may lead, write and speak for what is
 * stored. Every write is guarded by the stamp of the level that it was made under, so a controller
 * that has missed a switch, or stood still in it, changes nothing.
 *
 * <p>A level that can't be read is not taken for level 0: it was written by a later release, or is
 * damaged, and in both cases nothing is known of the other records' form.
 */
public final class LevelGate {
  /** The stamp of a key that does not exist. */
  private static final long ABSENT_REVISION = 0;

  private final SupportedLevels supported;
  private long revision = ABSENT_REVISION;
  private SchemaLevel inForce = SchemaLevel.UNVERSIONED;
  private JsonNode stored = MessagePack.MISSING;
  private Optional<String> objection;

  /** A gate for a build that supports those levels; until told otherwise level 0 is in force. */
  public LevelGate(SupportedLevels supported) {
    this.supported = supported;
    this.objection = objectionTo(SchemaLevel.UNVERSIONED);
  }

  /** The stored level has changed; empty when there is none. */
  public void update(Optional<JsonNode> value, long newRevision) {
    revision = value.isPresent() ? newRevision : ABSENT_REVISION;
    stored = value.orElse(MessagePack.MISSING);
    objection = evaluate(value);
  }

  /**
   * The stamp that guards what is written under the level known here; empty when nothing may be
   * written under it. A write that was decided before a switch and is sent after it must neither go
   * out with the old stamp, nor, since it has the old form, with the new one.
   */
  public OptionalLong writeRevision() {
    return objection.isEmpty() ? OptionalLong.of(revision) : OptionalLong.empty();
  }

  /** Why this controller must stay out; empty when it may take part. */
  public Optional<String> objection() {
    return objection;
  }

  /** The level in force; without a meaning while there is an objection. */
  public SchemaLevel inForce() {
    return inForce;
  }

  /** The levels that the build supports. */
  public SupportedLevels supported() {
    return supported;
  }

  /** Whether the build knows the feature, whichever level is in force. */
  public boolean supports(Feature feature) {
    return supported.contains(feature.requiredLevel());
  }

  /** Whether the feature may be used. */
  public boolean isEnabled(Feature feature) {
    return feature.isEnabledAt(inForce);
  }

  /** The record of the level as it is stored; missing if there is none. */
  public JsonNode stored() {
    return stored;
  }

  /** The record of the level once all records have the form that is written. */
  public ObjectNode migrationCompletedRecord() {
    return inForce.migrationCompleted().toNode(stored);
  }

  private Optional<String> evaluate(Optional<JsonNode> value) {
    try {
      inForce = SchemaLevel.fromStored(value);
      return objectionTo(inForce);
    } catch (MalformedMessageException e) {
      return Optional.of("the level of the stored state can't be read: " + e.getMessage());
    }
  }

  private Optional<String> objectionTo(SchemaLevel inForce) {
    return supported.contains(inForce.level())
        ? Optional.empty()
        : Optional.of(
            "the stored state is at level "
                + inForce.level()
                + ", this build supports "
                + supported);
  }
}
