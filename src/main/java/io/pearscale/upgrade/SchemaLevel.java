package io.pearscale.upgrade;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.protocol.MessageFields;
import io.pearscale.transport.MessagePack;
import java.util.Optional;

/**
 * The schema level in force in a cluster, as it is stored.
 *
 * @param level records may have the form of any level up to this one, so whoever takes part must be
 *     able to read them
 * @param writtenLevel the level whose forms are written; below {@code level} while a step is taken
 *     back
 * @param migrated whether all records have the form of {@code writtenLevel}
 * @param pinned whether an operator has rolled back: the level is not raised automatically
 */
public record SchemaLevel(int level, int writtenLevel, boolean migrated, boolean pinned) {
  /** In force where no level is stored: the form from before there were levels. */
  public static final SchemaLevel UNVERSIONED = new SchemaLevel(0, 0, true);

  private static final String LEVEL_FIELD = "level";
  private static final String WRITTEN_FIELD = "written";
  private static final String MIGRATED_FIELD = "migrated";
  private static final String PINNED_FIELD = "held";

  /** Creates a level that may be raised automatically. */
  public SchemaLevel(int level, int written, boolean migrated) {
    this(level, written, migrated, /* held= */ false);
  }

  /** The level in force, given the stored record, if there is one. */
  public static SchemaLevel fromStored(Optional<JsonNode> value) throws MalformedMessageException {
    return value.isEmpty() ? UNVERSIONED : parse(value.get());
  }

  /** Decodes the record; fields that a later release may add are ignored. */
  public static SchemaLevel parse(JsonNode value) throws MalformedMessageException {
    JsonNode map = MessageFields.requireMap(value);
    int level = (int) MessageFields.integer(map, LEVEL_FIELD, 0, Integer.MAX_VALUE);
    int writtenLevel =
        map.has(WRITTEN_FIELD) ? (int) MessageFields.integer(map, WRITTEN_FIELD, 0, level) : level;
    boolean migrated = map.has(MIGRATED_FIELD) ? map.path(MIGRATED_FIELD).asBoolean() : level == 0;
    return new SchemaLevel(level, writtenLevel, migrated, map.path(PINNED_FIELD).asBoolean());
  }

  /** Encodes the record; other stored fields are kept. */
  public ObjectNode toNode(JsonNode stored) {
    ObjectNode node = stored.isObject() ? stored.deepCopy() : MessagePack.map();
    return node.put(LEVEL_FIELD, level)
        .put(WRITTEN_FIELD, writtenLevel)
        .put(MIGRATED_FIELD, migrated)
        .put(PINNED_FIELD, pinned);
  }

  /** An upgrade to a higher level, whose form is written from then on. */
  public SchemaLevel upgradedTo(int higher) {
    return new SchemaLevel(higher, higher, false);
  }

  /** A rollback taken back: the level's own form is written again. */
  public SchemaLevel resumed() {
    return new SchemaLevel(level, level, false);
  }

  /** A rollback: the form of the level below is written, which comes into force once migrated. */
  public SchemaLevel rollingBack() {
    return new SchemaLevel(level, level - 1, false, /* held= */ true);
  }

  /** The migration is complete: the written level is in force. */
  public SchemaLevel migrationCompleted() {
    return new SchemaLevel(writtenLevel, writtenLevel, true, pinned);
  }

  /** Whether a rollback is under way. */
  public boolean isRollingBack() {
    return writtenLevel < level;
  }
}
