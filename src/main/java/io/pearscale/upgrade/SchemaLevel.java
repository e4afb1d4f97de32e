package io.pearscale.upgrade;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.protocol.MessageFields;
import io.pearscale.transport.MessagePack;
import java.util.Optional;

/**
 * The stored schema level of a cluster.
 *
 * @param level the highest level whose format stored records may have; every controller that
 *     participates must be able to read all formats up to it
 * @param writtenLevel the level whose format is written; below {@code level} during a rollback
 * @param migrated whether all records have the format of {@code writtenLevel}
 * @param pinned whether the level is not raised automatically because an operator rolled it back
 */
public record SchemaLevel(int level, int writtenLevel, boolean migrated, boolean pinned) {
  /** The level if none is stored: the format from before schema levels were introduced. */
  public static final SchemaLevel UNVERSIONED = new SchemaLevel(0, 0, true);

  private static final String LEVEL_FIELD = "level";
  private static final String WRITTEN_FIELD = "written";
  private static final String MIGRATED_FIELD = "migrated";
  private static final String PINNED_FIELD = "held";

  /** Creates a level that may be raised automatically. */
  public SchemaLevel(int level, int writtenLevel, boolean migrated) {
    this(level, writtenLevel, migrated, /* pinned= */ false);
  }

  /** Returns the level of the stored record, or {@link #UNVERSIONED} if there is none. */
  public static SchemaLevel fromStored(Optional<JsonNode> value) throws MalformedMessageException {
    return value.isEmpty() ? UNVERSIONED : parse(value.get());
  }

  /** Decodes a stored record; unknown fields, which a later release may add, are ignored. */
  public static SchemaLevel parse(JsonNode value) throws MalformedMessageException {
    JsonNode map = MessageFields.requireMap(value);
    int level = (int) MessageFields.integer(map, LEVEL_FIELD, 0, Integer.MAX_VALUE);
    int writtenLevel =
        map.has(WRITTEN_FIELD) ? (int) MessageFields.integer(map, WRITTEN_FIELD, 0, level) : level;
    boolean migrated = map.has(MIGRATED_FIELD) ? map.path(MIGRATED_FIELD).asBoolean() : level == 0;
    return new SchemaLevel(level, writtenLevel, migrated, map.path(PINNED_FIELD).asBoolean());
  }

  /** Encodes the level into a copy of the stored record; its other fields are kept. */
  public ObjectNode toNode(JsonNode stored) {
    ObjectNode node = stored.isObject() ? stored.deepCopy() : MessagePack.map();
    return node.put(LEVEL_FIELD, level)
        .put(WRITTEN_FIELD, writtenLevel)
        .put(MIGRATED_FIELD, migrated)
        .put(PINNED_FIELD, pinned);
  }

  /** Returns the level after an upgrade starts; the format of {@code higher} is written next. */
  public SchemaLevel upgradedTo(int higher) {
    return new SchemaLevel(higher, higher, false);
  }

  /** Returns the level after a rollback is aborted; its own format is written again. */
  public SchemaLevel resumed() {
    return new SchemaLevel(level, level, false);
  }

  /**
   * Returns the level after a rollback starts. The format of the level below is written, and that
   * level becomes current once the migration is complete.
   */
  public SchemaLevel rollingBack() {
    return new SchemaLevel(level, level - 1, false, /* pinned= */ true);
  }

  /** Returns the level after the migration, at which the written level is current. */
  public SchemaLevel migrationCompleted() {
    return new SchemaLevel(writtenLevel, writtenLevel, true, pinned);
  }

  /** Returns whether a rollback is in progress. */
  public boolean isRollingBack() {
    return writtenLevel < level;
  }
}
