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
 * @param written the level whose forms are written; below {@code level} while a step is taken back
 * @param migrated whether all records have the form of {@code written}
 * @param held whether an operator has taken a step back: the level does not rise by itself
 */
public record ClusterLevel(int level, int written, boolean migrated, boolean held) {
  /** In force where nothing is stored: the form from before there were levels. */
  public static final ClusterLevel UNVERSIONED = new ClusterLevel(0, 0, true);

  private static final String LEVEL = "level";
  private static final String WRITTEN = "written";
  private static final String MIGRATED = "migrated";
  private static final String HELD = "held";

  /** A level that may rise by itself. */
  public ClusterLevel(int level, int written, boolean migrated) {
    this(level, written, migrated, /* held= */ false);
  }

  /** The level that is in force, given what is stored, if anything is. */
  public static ClusterLevel ofStored(Optional<JsonNode> value) throws MalformedMessageException {
    return value.isEmpty() ? UNVERSIONED : parse(value.get());
  }

  /** Reads the record; fields that a later release may add are passed over. */
  public static ClusterLevel parse(JsonNode value) throws MalformedMessageException {
    JsonNode map = MessageFields.requireMap(value);
    int level = (int) MessageFields.integer(map, LEVEL, 0, Integer.MAX_VALUE);
    int written = map.has(WRITTEN) ? (int) MessageFields.integer(map, WRITTEN, 0, level) : level;
    boolean migrated = map.has(MIGRATED) ? map.path(MIGRATED).asBoolean() : level == 0;
    return new ClusterLevel(level, written, migrated, map.path(HELD).asBoolean());
  }

  /** Adds the record's fields to what else is stored beside them. */
  public ObjectNode toNode(JsonNode stored) {
    ObjectNode node = stored.isObject() ? stored.deepCopy() : MessagePack.map();
    return node.put(LEVEL, level).put(WRITTEN, written).put(MIGRATED, migrated).put(HELD, held);
  }

  /** A higher level, whose forms are written from now on. */
  public ClusterLevel raisedTo(int higher) {
    return new ClusterLevel(higher, higher, false);
  }

  /** The level's own forms are written again, after a step that was to be taken back. */
  public ClusterLevel resumed() {
    return new ClusterLevel(level, level, false);
  }

  /** The forms of the level below are written; it comes into force when all records have them. */
  public ClusterLevel goingBack() {
    return new ClusterLevel(level, level - 1, false, /* held= */ true);
  }

  /** All records have the form that is written. */
  public ClusterLevel completed() {
    return new ClusterLevel(written, written, true, held);
  }

  /** Whether a step is being taken back. */
  public boolean isGoingBack() {
    return written < level;
  }
}
