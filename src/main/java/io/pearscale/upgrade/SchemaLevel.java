package io.pearscale.upgrade;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.protocol.MessageFields;
import io.pearscale.transport.MessagePack;
import java.util.Optional;

/**
 * The level of stored state that is in force in a cluster, as the state service holds it.
 *
 * @param level records may have any form up to this level, so whoever takes part must be able to
 *     read it
 * @param writtenLevel the level whose forms are written; below {@code level} while a step is taken
 *     back
 * @param migrated whether all records have the form of {@code written}
 * @param pinned whether an operator has taken a step back: the level does not rise by itself
 */
public record SchemaLevel(int level, int writtenLevel, boolean migrated, boolean pinned) {
  /** In force where nothing is stored: the form from before there were levels. */
  public static final SchemaLevel UNVERSIONED = new SchemaLevel(0, 0, true);

  private static final String LEVEL_FIELD = "level";
  private static final String WRITTEN_FIELD = "written";
  private static final String MIGRATED_FIELD = "migrated";
  private static final String PINNED_FIELD = "held";

  /** A level that may rise by itself. */
  public SchemaLevel(int level, int written, boolean migrated) {
    this(level, written, migrated, /* pinned= */ false);
  }

  /** The level that is in force, given what is stored, if anything is. */
  public static SchemaLevel fromStored(Optional<JsonNode> value) throws MalformedMessageException {
    return value.isEmpty() ? UNVERSIONED : parse(value.get());
  }

  /** Reads the record; fields that a later release may add are passed over. */
  public static SchemaLevel parse(JsonNode value) throws MalformedMessageException {
    JsonNode map = MessageFields.requireMap(value);
    int level = (int) MessageFields.integer(map, LEVEL_FIELD, 0, Integer.MAX_VALUE);
    int writtenLevel =
        map.has(WRITTEN_FIELD) ? (int) MessageFields.integer(map, WRITTEN_FIELD, 0, level) : level;
    boolean migrated = map.has(MIGRATED_FIELD) ? map.path(MIGRATED_FIELD).asBoolean() : level == 0;
    return new SchemaLevel(level, writtenLevel, migrated, map.path(PINNED_FIELD).asBoolean());
  }

  /** Adds the record's fields to what else is stored beside them. */
  public ObjectNode toNode(JsonNode stored) {
    ObjectNode node = stored.isObject() ? stored.deepCopy() : MessagePack.map();
    return node.put(LEVEL_FIELD, level)
        .put(WRITTEN_FIELD, writtenLevel)
        .put(MIGRATED_FIELD, migrated)
        .put(PINNED_FIELD, pinned);
  }

  /** A higher level, whose forms are written from now on. */
  public SchemaLevel upgradedTo(int higher) {
    return new SchemaLevel(higher, higher, false);
  }

  /** The level's own forms are written again, after a step that was to be taken back. */
  public SchemaLevel resumed() {
    return new SchemaLevel(level, level, false);
  }

  /** The forms of the level below are written; it comes into force when all records have them. */
  public SchemaLevel rollingBack() {
    return new SchemaLevel(level, level - 1, false, /* pinned= */ true);
  }

  /** All records have the form that is written. */
  public SchemaLevel migrationCompleted() {
    return new SchemaLevel(writtenLevel, writtenLevel, true, pinned);
  }

  /** Whether a step is being taken back. */
  public boolean isRollingBack() {
    return writtenLevel < level;
  }
}
