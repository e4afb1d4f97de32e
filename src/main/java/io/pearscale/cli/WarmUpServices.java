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
 * The state service, the cloud and one worker, as far as {@link WarmUp} needs them: enough for an
 * election, a job and its tasks. Nothing is limited, lost or kept.
 */
final class WarmUpServices {
  private static final String KEYS = "/keys/";

  private final TreeMap<String, ObjectNode> pairs = new TreeMap<>();
  private final ArrayNode events = MessagePack.map().putArray("events");
  private final Map<String, Long> tasks = new HashMap<>();
  private long epoch = 1;
  private long token;
  private long sequence;
  private String address = "127.0.0.1:1";

  /** Answers a request to any of them. */
  synchronized void handle(String method, String path, Body body, Consumer<Response> respond) {
    JsonNode request = body.tree().orElse(MessagePack.map());
    if (path.startsWith(KEYS) && !pairs.containsKey(path.substring(KEYS.length()))) {
      respond.accept(Response.of(404, MessagePack.map().put("epoch", epoch)));
    } else if (path.startsWith(KEYS)) {
      respond.accept(Response.of(200, pairs.get(path.substring(KEYS.length()))));
    } else if (path.equals("/commit")) {
      respond.accept(commit(request));
    } else if (path.equals("/do")) {
      token = Math.max(token, request.path("baton").asLong());
      request.path("orders").forEach(this::execute);
      respond.accept(Response.of(200, heartbeat(address)));
    } else if (path.equals("/keys")) {
      // An old list: what has changed since comes with the watch.
      respond.accept(Response.of(200, anything().put("epoch", 1)));
    } else {
      respond.accept(Response.of(200, anything()));
    }
  }

  private Response commit(JsonNode request) {
    for (JsonNode guard : request.path("guards")) {
      ObjectNode pair = pairs.get(guard.path("key").asText());
      if (guard.path("stamp").asLong() != (pair == null ? 0 : pair.path("stamp").asLong())) {
        ObjectNode failure = MessagePack.map().put("epoch", epoch);
        failure.putArray("failed").add(guard.path("key").asText());
        return Response.of(409, failure);
      }
    }
    epoch++;
    for (JsonNode change : request.path("then")) {
      ObjectNode event = change.deepCopy();
      events.add(event.put("stamp", epoch));
      if (change.has("write")) {
        String key = change.path("write").asText();
        ObjectNode pair = MessagePack.map().put("key", key).put("stamp", epoch);
        pair.set("value", change.path("value"));
        pairs.put(key, pair);
      } else {
        pairs.remove(change.path("drop").asText());
      }
    }
    return Response.of(200, MessagePack.map().put("epoch", epoch));
  }

  private void execute(JsonNode order) {
    String task = order.path("piece").asText();
    if (order.path("verb").asText().equals("run")) {
      tasks.put(task, order.path("try").asLong());
    } else {
      tasks.remove(task);
    }
  }

  /** The worker's next report; every second one says that its tasks are done. */
  synchronized ObjectNode heartbeat(String workerAddress) {
    address = workerAddress;
    ObjectNode report = WarmUp.heartbeat(address).put("tally", ++sequence).put("baton", token);
    ArrayNode list = report.putArray("pieces");
    tasks.forEach(
        (task, attempt) -> {
          ObjectNode entry = list.addObject().put("piece", task).put("try", attempt);
          if (sequence % 2 == 0) {
            entry.put("stage", "ended").put("cause", "done");
          } else {
            entry.put("stage", "running");
          }
        });
    return report;
  }

  /** What the other pages answer, in one: a reader takes what it knows. */
  private ObjectNode anything() {
    ObjectNode answer = MessagePack.map();
    answer.put("epoch", epoch).put("claim", epoch).put("more", false);
    answer.set("events", events.deepCopy());
    answer.putArray("pairs");
    answer
        .putArray("hives")
        .addObject()
        .put("uid", "m-000001")
        .put("address", "127.0.0.1:1")
        .put("breed", "g")
        .put("yard", "a")
        .put("windfall", false)
        .put("stage", "running")
        .put("ageS", 60.0);
    answer
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
    return answer;
  }
}
