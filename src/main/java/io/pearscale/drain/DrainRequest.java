package io.pearscale.drain;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.protocol.MessageFields;
import io.pearscale.storage.KeyValueStoreClient.Mutation;
import io.pearscale.storage.Keys;
import io.pearscale.transport.MessagePack;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * What operators want of a drain. Operators alone write it; what comes of it is the leader's
 * record.
 *
 * @param selector how the machines were chosen, for people: the names are stored beside
 * @param maxConcurrentMachines so many machines are cordoned at a time
 * @param completionAction what becomes of a machine that is empty
 * @param window the maintenance window in which it may disrupt
 */
public record DrainRequest(
    String id,
    String selector,
    int maxConcurrentMachines,
    CompletionAction completionAction,
    DesiredState desiredState,
    Instant requestedAt,
    Instant deadline,
    Optional<String> window) {

  /** What becomes of a machine that is empty. */
  public enum CompletionAction {
    /** It is given back to the cloud; another one is rented where it is needed. */
    RETURN,
    /** It stays out of service until the drain is ended. */
    HOLD
  }

  /** What is to be done now. */
  public enum DesiredState {
    /** Go on. */
    RUN,
    /** Disrupt nothing and cordon nothing; what is cordoned stays so. */
    PAUSE,
    /** Put back into service what is not drained yet, and what is held. */
    CANCEL
  }

  /** So much of a value is filled with names, in percent. */
  private static final int VALUE_FILL_PERCENT = 80;

  /** What a name takes in a list beside its letters. */
  private static final int NAME_PUNCTUATION_LENGTH = 3;

  /** Ids are part of keys and of each machine's record, so they are short. */
  private static final Pattern ID = Pattern.compile("[a-z0-9][a-z0-9-]{0,11}");

  /** Whether the text may be an id. */
  public static boolean isId(String text) {
    return ID.matcher(text).matches();
  }

  /** Reads the record. */
  public static DrainRequest parse(String id, JsonNode value) throws MalformedMessageException {
    JsonNode map = MessageFields.requireMap(value);
    return new DrainRequest(
        id,
        MessageFields.text(map, "selector"),
        (int) MessageFields.integer(map, "atOnce", 1, Integer.MAX_VALUE),
        parseConstant(CompletionAction.class, MessageFields.text(map, "afterwards")),
        parseConstant(DesiredState.class, MessageFields.text(map, "wish")),
        Instant.ofEpochMilli(MessageFields.integer(map, "requestedMs", 0, Long.MAX_VALUE)),
        Instant.ofEpochMilli(MessageFields.integer(map, "deadlineMs", 0, Long.MAX_VALUE)),
        MessageFields.optionalText(map, "window"));
  }

  private static <E extends Enum<E>> E parseConstant(Class<E> type, String text)
      throws MalformedMessageException {
    for (E each : type.getEnumConstants()) {
      if (word(each).equals(text)) {
        return each;
      }
    }
    throw new MalformedMessageException("unknown word " + text);
  }

  private static String word(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT);
  }

  /** The record. */
  public ObjectNode toNode() {
    ObjectNode node =
        MessagePack.map()
            .put("selector", selector)
            .put("atOnce", maxConcurrentMachines)
            .put("afterwards", word(completionAction))
            .put("wish", word(desiredState))
            .put("requestedMs", requestedAt.toEpochMilli())
            .put("deadlineMs", deadline.toEpochMilli());
    window.ifPresent(name -> node.put("window", name));
    return node;
  }

  /**
   * What is written when a drain is asked for: the record, and the names of the machines in as many
   * values as they need.
   */
  public List<Mutation> toMutations(List<String> machines, int maxValueBytes) {
    List<Mutation> mutations = new ArrayList<>();
    mutations.add(Mutation.put(Keys.drain(id), toNode()));
    int fillLimit = maxValueBytes * VALUE_FILL_PERCENT / 100;
    ObjectNode value = MessagePack.map();
    ArrayNode list = value.putArray("m");
    int size = 0;
    for (String name : machines) {
      if (size + name.length() + NAME_PUNCTUATION_LENGTH > fillLimit) {
        mutations.add(Mutation.put(Keys.drainMachines(id) + (mutations.size() - 1), value));
        value = MessagePack.map();
        list = value.putArray("m");
        size = 0;
      }
      list.add(name);
      size += name.length() + NAME_PUNCTUATION_LENGTH;
    }
    mutations.add(Mutation.put(Keys.drainMachines(id) + (mutations.size() - 1), value));
    return mutations;
  }

  /** The stored record with another wish; whatever else is stored stays. */
  public static ObjectNode withDesiredState(JsonNode stored, DesiredState desiredState) {
    ObjectNode node = stored.deepCopy();
    return node.put("wish", word(desiredState));
  }
}
