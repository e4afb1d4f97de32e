package io.pearscale.drain;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.protocol.EnumNames;
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
 * An operator's request for a drain. Only operators write this record; the leader writes {@link
 * DrainStatus}.
 *
 * @param selector description of the machine selection, for display; the names of the selected
 *     machines are stored in separate values
 * @param maxConcurrentMachines maximum number of machines that are cordoned at a time
 * @param completionAction what happens to a machine once it is empty
 * @param window name of the maintenance window in which the drain may disrupt tasks; empty for any
 *     time
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

  /** What happens to a machine once it is empty. */
  public enum CompletionAction {
    /** The machine is terminated; the autoscaler provisions a replacement if one is needed. */
    TERMINATE("return"),
    /** The machine stays out of service until the drain is cancelled. */
    HOLD("hold");

    private final String storedName;

    CompletionAction(String storedName) {
      this.storedName = storedName;
    }

    private static CompletionAction parse(String text) throws MalformedMessageException {
      return EnumNames.find(values(), action -> action.storedName, text)
          .orElseThrow(() -> unknownName(text));
    }
  }

  /** The state that the operator requests. */
  public enum DesiredState {
    /** Cordon machines, and stop tasks as the disruption budgets allow. */
    RUN("run"),
    /** Cordon no further machines and stop no tasks; cordoned machines stay cordoned. */
    PAUSE("pause"),
    /** Return all machines to service that are not yet terminated. */
    CANCEL("cancel");

    private final String storedName;

    DesiredState(String storedName) {
      this.storedName = storedName;
    }

    private static DesiredState parse(String text) throws MalformedMessageException {
      return EnumNames.find(values(), state -> state.storedName, text)
          .orElseThrow(() -> unknownName(text));
    }
  }

  /** Percentage of the maximum value size that is filled with machine names. */
  private static final int VALUE_FILL_PERCENT = 80;

  /** Bytes that a name in a list takes in addition to its characters. */
  private static final int NAME_OVERHEAD_BYTES = 3;

  /** Ids are kept short because they are part of keys and machine records. */
  private static final Pattern ID = Pattern.compile("[a-z0-9][a-z0-9-]{0,11}");

  /** Returns whether the text is a valid drain id. */
  public static boolean isValidId(String text) {
    return ID.matcher(text).matches();
  }

  /** Decodes a stored request. */
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
    return new MalformedMessageException("unknown completion action or desired state: " + text);
  }

  /** Encodes the request as a stored record. */
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
   * Returns the mutations that store a new request: one for its record, and one for each value that
   * holds a part of the machine names.
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

  /** Returns a copy of the stored record with another desired state and all other fields kept. */
  public static ObjectNode withDesiredState(JsonNode stored, DesiredState desiredState) {
    ObjectNode node = stored.deepCopy();
    return node.put("wish", desiredState.storedName);
  }
}
