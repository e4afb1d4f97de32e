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
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * An operator's request for a drain. Only operators write it; the leader writes {@link
 * DrainStatus}.
 *
 * @param selector how the machines were selected, for display; their names are stored beside
 * @param maxConcurrentMachines the most machines that are cordoned at a time
 * @param completionAction what becomes of a machine that is empty
 * @param window name of the maintenance window in which it may disrupt; empty for any time
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
    /** It is terminated; another one is provisioned where it is needed. */
    TERMINATE("return"),
    /** It stays out of service until the drain is ended. */
    HOLD("hold");

    private final String storedName;

    CompletionAction(String storedName) {
      this.storedName = storedName;
    }

    private static CompletionAction parse(String text) throws MalformedMessageException {
      for (CompletionAction action : values()) {
        if (action.storedName.equals(text)) {
          return action;
        }
      }
      throw unknownName(text);
    }
  }

  /** What the operator wants now. */
  public enum DesiredState {
    /** Cordon machines, and disrupt tasks as budgets allow. */
    RUN("run"),
    /** Cordon nothing and disrupt nothing; cordoned machines stay so. */
    PAUSE("pause"),
    /** Put all machines back into service that are not terminated yet. */
    CANCEL("cancel");

    private final String storedName;

    DesiredState(String storedName) {
      this.storedName = storedName;
    }

    private static DesiredState parse(String text) throws MalformedMessageException {
      for (DesiredState state : values()) {
        if (state.storedName.equals(text)) {
          return state;
        }
      }
      throw unknownName(text);
    }
  }

  /** How much of a value is filled with names, in percent. */
  private static final int VALUE_FILL_PERCENT = 80;

  /** Bytes of a name in a list beside its characters. */
  private static final int NAME_OVERHEAD_BYTES = 3;

  /** Ids are part of keys and of machine records, so they are short. */
  private static final Pattern ID = Pattern.compile("[a-z0-9][a-z0-9-]{0,11}");

  /** Whether the text is a valid id. */
  public static boolean isId(String text) {
    return ID.matcher(text).matches();
  }

  /** Decodes the record. */
  public static DrainRequest parse(String id, JsonNode value) throws MalformedMessageException {
    JsonNode map = MessageFields.requireMap(value);
    return new DrainRequest(
        id,
        MessageFields.text(map, "selector"),
        (int) MessageFields.integer(map, "atOnce", 1, Integer.MAX_VALUE),
        CompletionAction.parse(MessageFields.text(map, "afterwards")),
        DesiredState.parse(MessageFields.text(map, "wish")),
        Instant.ofEpochMilli(MessageFields.integer(map, "requestedMs", 0, Long.MAX_VALUE)),
        Instant.ofEpochMilli(MessageFields.integer(map, "deadlineMs", 0, Long.MAX_VALUE)),
        MessageFields.optionalText(map, "window"));
  }

  private static MalformedMessageException unknownName(String text) {
    return new MalformedMessageException("unknown word " + text);
  }

  /** Encodes the record. */
  public ObjectNode toNode() {
    ObjectNode node =
        MessagePack.map()
            .put("selector", selector)
            .put("atOnce", maxConcurrentMachines)
            .put("afterwards", completionAction.storedName)
            .put("wish", desiredState.storedName)
            .put("requestedMs", requestedAt.toEpochMilli())
            .put("deadlineMs", deadline.toEpochMilli());
    window.ifPresent(name -> node.put("window", name));
    return node;
  }

  /**
   * The mutations that store a new request: its record, and the names of the machines in as many
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
      if (size + name.length() + NAME_OVERHEAD_BYTES > fillLimit) {
        mutations.add(Mutation.put(Keys.drainMachines(id) + (mutations.size() - 1), value));
        value = MessagePack.map();
        list = value.putArray("m");
        size = 0;
      }
      list.add(name);
      size += name.length() + NAME_OVERHEAD_BYTES;
    }
    mutations.add(Mutation.put(Keys.drainMachines(id) + (mutations.size() - 1), value));
    return mutations;
  }

  /** The stored record with another desired state; its other fields are kept. */
  public static ObjectNode withDesiredState(JsonNode stored, DesiredState desiredState) {
    ObjectNode node = stored.deepCopy();
    return node.put("wish", desiredState.storedName);
  }
}
