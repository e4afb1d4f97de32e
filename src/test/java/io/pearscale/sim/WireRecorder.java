package io.pearscale.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.transport.HttpClient.Reply;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Writes down what goes over the wire of a simulated world: requests, answers and records between
 * controllers, each with its time. It keeps a digest of all of it, and the first example of each
 * form of message.
 */
final class WireRecorder {
  /** So many messages of each kind are looked at for other forms. */
  private static final int SAMPLES_PER_KIND = 100;

  private final SimulatedCluster cluster;
  private final MessageDigest digest;
  private final Map<String, String> examples;
  private final StringBuilder transcript = new StringBuilder();
  private final Map<String, Integer> sampleCounts = new HashMap<>();
  private long messageCount;

  /** Listens to a world; new forms of messages are added to the examples. */
  WireRecorder(SimulatedCluster cluster, Map<String, String> examples) {
    this.cluster = cluster;
    this.examples = examples;
    try {
      digest = MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  void request(String from, String to, String method, String path, JsonNode sent) {
    JsonNode body = sortGuards(sent);
    append(from + " > " + to + " " + method + " " + path + " " + textOf(body));
    String endpoint = method + " " + endpoint(to, path);
    addExample(role(from) + " > " + endpoint, body);
    for (JsonNode change : body.path("then")) {
      String key = change.path("write").asText(change.path("drop").asText());
      addExample("stored " + key.replaceAll("[^/]*[0-9]+[^/]*", "*"), change);
    }
  }

  void response(String from, String to, String method, String path, Reply reply) {
    append(from + " < " + to + " " + method + " " + path + " " + reply.status());
    append(textOf(reply.body()));
    String endpoint = method + " " + endpoint(to, path);
    addExample(role(from) + " < " + endpoint + " " + reply.status(), reply.body());
  }

  void record(String from, String to, byte[] frame) {
    String hex = HexFormat.of().formatHex(frame);
    append(from + " > " + to + " record " + hex);
    examples.putIfAbsent("record of kind " + frame[0] + "\n ", hex);
  }

  /** The order of guards means nothing, and that of members differs from run to run. */
  private static JsonNode sortGuards(JsonNode body) {
    if (!body.path("guards").isArray()) {
      return body;
    }
    TreeMap<String, JsonNode> guards = new TreeMap<>();
    body.path("guards").forEach(guard -> guards.put(guard.toString(), guard));
    ObjectNode copy = ((ObjectNode) body).objectNode().setAll((ObjectNode) body);
    copy.putArray("guards").addAll(guards.values());
    return copy;
  }

  private static String textOf(JsonNode body) {
    return body.isMissingNode() ? "-" : body.toString();
  }

  private void append(String line) {
    messageCount++;
    String timestamped = cluster.elapsed().toNanos() + " " + line + "\n";
    digest.update(timestamped.getBytes(StandardCharsets.UTF_8));
    if (Boolean.getBoolean("golden.transcripts")) {
      transcript.append(timestamped);
    }
  }

  private static String endpoint(String to, String path) {
    return role(to) + path.replaceAll("[?].*", "?").replaceAll("/[^/?]*[0-9][^/?]*", "/*");
  }

  /** What all controllers, machines or users are called in examples. */
  private static String role(String name) {
    return name.replaceAll("-?[0-9]+", "");
  }

  private void addExample(String kind, JsonNode body) {
    if (sampleCounts.merge(kind, 1, Integer::sum) <= SAMPLES_PER_KIND) {
      examples.putIfAbsent(kind + "\n  " + shapeOf(body), textOf(body));
    }
  }

  /** Names and types of the fields; of a list each form once. */
  private static String shapeOf(JsonNode node) {
    if (node.isObject()) {
      Map<String, String> fields = new LinkedHashMap<>();
      node.fields()
          .forEachRemaining(
              field ->
                  fields.putIfAbsent(fieldNamePattern(field.getKey()), shapeOf(field.getValue())));
      return fields.toString();
    } else if (node.isArray()) {
      TreeSet<String> shapes = new TreeSet<>();
      node.forEach(element -> shapes.add(shapeOf(element)));
      return shapes.toString();
    }
    return node.getNodeType().name().charAt(0) + (node.isFloatingPointNumber() ? "." : "");
  }

  /** Names of jobs and machines are all the same here. */
  private static String fieldNamePattern(String field) {
    return field.chars().anyMatch(Character::isDigit) ? "*" : field;
  }

  /** How many messages there were. */
  long messageCount() {
    return messageCount;
  }

  /** The digest of all of them. */
  String digest() {
    return HexFormat.of().formatHex(digest.digest());
  }

  /** All that was written down, if that was asked for. */
  String transcript() {
    return transcript.toString();
  }
}
