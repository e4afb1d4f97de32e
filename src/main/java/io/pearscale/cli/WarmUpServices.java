package io.pearscale.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.transport.Body;
import io.pearscale.transport.HttpServer.Response;
import io.pearscale.transport.MessagePack;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * A stub of the key-value store, the cloud and one agent for {@link WarmUp}, which suffices for an
 * election, a job and its tasks. It enforces no limits, loses nothing and persists nothing.
 */
final class WarmUpServices {
  private static final String KEYS_PATH = "/keys/";

  private final TreeMap<String, ObjectNode> storedPairs = new TreeMap<>();
  private final ArrayNode events = MessagePack.map().putArray("events");
  private final Map<String, Long> attemptByTask = new HashMap<>();
  private long revision = 1;
  private long fencingToken;
  private long sequence;
  private String address = "127.0.0.1:1";

  /** Handles a request to any of the three services. */
  synchronized void handle(String method, String path, Body body, Consumer<Response> respond) {
    JsonNode request = body.tree().orElse(MessagePack.map());
    if (path.startsWith(KEYS_PATH)
        && !storedPairs.containsKey(path.substring(KEYS_PATH.length()))) {
      respond.accept(Response.of(404, MessagePack.map().put("epoch", revision)));
    } else if (path.startsWith(KEYS_PATH)) {
      respond.accept(Response.of(200, storedPairs.get(path.substring(KEYS_PATH.length()))));
    } else if (path.equals("/commit")) {
      respond.accept(commit(request));
    } else if (path.equals("/do")) {
      fencingToken = Math.max(fencingToken, request.path("baton").asLong());
      request.path("orders").forEach(this::execute);
      respond.accept(Response.of(200, heartbeat(address)));
    } else if (path.equals("/keys")) {
      // An empty list at revision 1: the watch returns all later changes.
      respond.accept(Response.of(200, combinedResponse().put("epoch", 1)));
    } else {
      respond.accept(Response.of(200, combinedResponse()));
    }
  }

  private Response commit(JsonNode request) {
    for (JsonNode precondition : request.path("guards")) {
      ObjectNode pair = storedPairs.get(precondition.path("key").asText());
      if (precondition.path("stamp").asLong() != (pair == null ? 0 : pair.path("stamp").asLong())) {
        ObjectNode failure = MessagePack.map().put("epoch", revision);
        failure.putArray("failed").add(precondition.path("key").asText());
        return Response.of(409, failure);
      }
    }
    revision++;
    for (JsonNode mutation : request.path("then")) {
      ObjectNode event = mutation.deepCopy();
      events.add(event.put("stamp", revision));
      if (mutation.has("write")) {
        String key = mutation.path("write").asText();
        ObjectNode pair = MessagePack.map().put("key", key).put("stamp", revision);
        pair.set("value", mutation.path("value"));
        storedPairs.put(key, pair);
      } else {
        storedPairs.remove(mutation.path("drop").asText());
      }
    }
    return Response.of(200, MessagePack.map().put("epoch", revision));
  }

  private void execute(JsonNode command) {
    String task = command.path("piece").asText();
    if (command.path("verb").asText().equals("run")) {
      attemptByTask.put(task, command.path("try").asLong());
    } else {
      attemptByTask.remove(task);
    }
  }

  /** Returns the agent's next heartbeat; every second one reports its tasks as done. */
  synchronized ObjectNode heartbeat(String agentAddress) {
    address = agentAddress;
    ObjectNode heartbeat =
        WarmUp.sampleHeartbeat(address).put("tally", ++sequence).put("baton", fencingToken);
    ArrayNode tasks = heartbeat.putArray("pieces");
    attemptByTask.forEach(
        (task, attempt) -> {
          ObjectNode entry = tasks.addObject().put("piece", task).put("try", attempt);
          if (sequence % 2 == 0) {
            entry.put("stage", "ended").put("cause", "done");
          } else {
            entry.put("stage", "running");
          }
        });
    return heartbeat;
  }

  /**
   * Returns the fields of all other responses in one; clients ignore those that they do not use.
   */
  private ObjectNode combinedResponse() {
    ObjectNode response = MessagePack.map();
    response.put("epoch", revision).put("claim", revision).put("more", false);
    response.set("events", events.deepCopy());
    response.putArray("pairs");
    response
        .putArray("hives")
        .addObject()
        .put("uid", "m-000001")
        .put("address", "127.0.0.1:1")
        .put("breed", "g")
        .put("yard", "a")
        .put("windfall", false)
        .put("stage", "running")
        .put("ageS", 60.0);
    response
        .putArray("breeds")
        .addObject()
        .put("sku", "g")
        .put("vcpus", 8.0)
        .put("accelerators", 0.0)
        .put("memoryGb", 8.0)
        .put("cacheGb", 8.0)
        .put("fetchGbPerS", 1.0)
        .put("rate", 1.0)
        .put("marketPrice", 0.5)
        .put("readyS", 20.0)
        .putArray("yards")
        .add("a");
    return response;
  }
}
