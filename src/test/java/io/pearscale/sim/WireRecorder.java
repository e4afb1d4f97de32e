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
 * Records the messages of a simulated cluster: requests, responses and records between controllers,
 * each with its time. It keeps a digest of all messages, and the first example of each message
 * format.
 */
final class WireRecorder {
  /** How many messages of each kind are inspected for new formats. */
  private static final int SAMPLES_PER_KIND = 100;

  private final SimulatedCluster cluster;
  private final MessageDigest digest;
  private final Map<String, String> examples;
  private final StringBuilder transcript = new StringBuilder();
  private final Map<String, Integer> sampleCounts = new HashMap<>();
  private long messageCount;

  /** Creates a recorder that adds an example of each new message format to {@code examples}. */
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

  /** Sorts guards: their order has no meaning, and that of member guards differs between runs. */
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

  /** Removes the number from a name, so that all controllers, machines or users share a name. */
  private static String role(String name) {
    return name.replaceAll("-?[0-9]+", "");
  }

  private void addExample(String kind, JsonNode body) {
    if (sampleCounts.merge(kind, 1, Integer::sum) <= SAMPLES_PER_KIND) {
      examples.putIfAbsent(kind + "\n  " + shapeOf(body), textOf(body));
    }
  }

  /** Returns the names and types of the fields; for a list, each distinct element format once. */
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

  /** Replaces a field name that contains a digit, such as a job or machine, by {@code *}. */
  private static String fieldNamePattern(String field) {
    return field.chars().anyMatch(Character::isDigit) ? "*" : field;
  }

  /** Returns the number of recorded messages. */
  long messageCount() {
    return messageCount;
  }

  /** Returns the digest of all recorded messages as hexadecimal text. */
  String digest() {
    return HexFormat.of().formatHex(digest.digest());
  }

  /** Returns all recorded messages; empty unless {@code golden.transcripts} is set. */
  String transcript() {
    return transcript.toString();
  }
}
