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
  private static final int LOOKS = 100;

  private final SimulatedCluster cluster;
  private final MessageDigest digest;
  private final Map<String, String> examples;
  private final StringBuilder text = new StringBuilder();
  private final Map<String, Integer> looked = new HashMap<>();
  private long messages;

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
    JsonNode body = inOrder(sent);
    note(from + " > " + to + " " + method + " " + path + " " + textOf(body));
    String page = method + " " + page(to, path);
    example(role(from) + " > " + page, body);
    for (JsonNode change : body.path("then")) {
      String key = change.path("write").asText(change.path("drop").asText());
      example("stored " + key.replaceAll("[^/]*[0-9]+[^/]*", "*"), change);
    }
  }

  void answer(String from, String to, String method, String path, Reply reply) {
    note(from + " < " + to + " " + method + " " + path + " " + reply.status());
    note(textOf(reply.body()));
    String page = method + " " + page(to, path);
    example(role(from) + " < " + page + " " + reply.status(), reply.body());
  }

  void record(String from, String to, byte[] frame) {
    String hex = HexFormat.of().formatHex(frame);
    note(from + " > " + to + " record " + hex);
    examples.putIfAbsent("record of kind " + frame[0] + "\n ", hex);
  }

  /** The order of guards means nothing, and that of members differs from run to run. */
  private static JsonNode inOrder(JsonNode body) {
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

  private void note(String line) {
    messages++;
    String timed = cluster.elapsed().toNanos() + " " + line + "\n";
    digest.update(timed.getBytes(StandardCharsets.UTF_8));
    if (Boolean.getBoolean("golden.transcripts")) {
      text.append(timed);
    }
  }

  private static String page(String to, String path) {
    return role(to) + path.replaceAll("[?].*", "?").replaceAll("/[^/?]*[0-9][^/?]*", "/*");
  }

  /** What all controllers, machines or users are called in examples. */
  private static String role(String name) {
    return name.replaceAll("-?[0-9]+", "");
  }

  private void example(String kind, JsonNode body) {
    if (looked.merge(kind, 1, Integer::sum) <= LOOKS) {
      examples.putIfAbsent(kind + "\n  " + form(body), textOf(body));
    }
  }

  /** Names and types of the fields; of a list each form once. */
  private static String form(JsonNode node) {
    if (node.isObject()) {
      Map<String, String> fields = new LinkedHashMap<>();
      node.fields()
          .forEachRemaining(
              field -> fields.putIfAbsent(nameOf(field.getKey()), form(field.getValue())));
      return fields.toString();
    } else if (node.isArray()) {
      TreeSet<String> forms = new TreeSet<>();
      node.forEach(each -> forms.add(form(each)));
      return forms.toString();
    }
    return node.getNodeType().name().charAt(0) + (node.isFloatingPointNumber() ? "." : "");
  }

  /** Names of jobs and machines are all the same here. */
  private static String nameOf(String field) {
    return field.chars().anyMatch(Character::isDigit) ? "*" : field;
  }

  /** How many messages there were. */
  long messages() {
    return messages;
  }

  /** The digest of all of them. */
  String digest() {
    return HexFormat.of().formatHex(digest.digest());
  }

  /** All that was written down, if that was asked for. */
  String text() {
    return text.toString();
  }
}
