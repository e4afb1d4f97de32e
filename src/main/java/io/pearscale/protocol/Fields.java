package io.pearscale.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Checked access to the fields of a message. Null and absent are the same. */
public final class Fields {
  private static final double MAX_SECONDS = 1e9;

  /** The largest amount that a message may name. */
  static final double MAX_AMOUNT = 1e9;

  /** The longest text of a message that is kept. */
  static final int LONGEST_TEXT = 200;

  private Fields() {}

  private static Optional<JsonNode> get(JsonNode map, String name) {
    JsonNode n = map.get(name);
    return n == null || n.isNull() ? Optional.empty() : Optional.of(n);
  }

  /** The message must be a map. */
  public static JsonNode map(JsonNode node) throws MalformedMessageException {
    if (!node.isObject()) {
      throw new MalformedMessageException("not a map");
    }
    return node;
  }

  /** A text that may be missing. */
  public static Optional<String> optText(JsonNode map, String name)
      throws MalformedMessageException {
    Optional<JsonNode> n = get(map, name);
    if (n.isPresent() && !n.get().isTextual()) {
      throw new MalformedMessageException(name + ": text expected");
    }
    return n.map(JsonNode::textValue);
  }

  /** A text of 1 to 200 characters. */
  public static String text(JsonNode map, String name) throws MalformedMessageException {
    String s =
        optText(map, name).orElseThrow(() -> new MalformedMessageException(name + ": missing"));
    if (s.isEmpty() || s.length() > LONGEST_TEXT) {
      throw new MalformedMessageException(name + ": 1 to 200 characters expected");
    }
    return s;
  }

  /** A finite amount that is not negative. */
  public static Optional<Double> optAmount(JsonNode map, String name)
      throws MalformedMessageException {
    Optional<JsonNode> n = get(map, name);
    if (n.isEmpty()) {
      return Optional.empty();
    }
    double d = n.get().isNumber() ? n.get().doubleValue() : Double.NaN;
    if (!(d >= 0 && d <= MAX_AMOUNT)) {
      throw new MalformedMessageException(name + ": a number of at least 0 expected");
    }
    return Optional.of(d);
  }

  /** A finite amount that is not negative, and must be there. */
  public static double amount(JsonNode map, String name) throws MalformedMessageException {
    return optAmount(map, name)
        .orElseThrow(() -> new MalformedMessageException(name + ": missing"));
  }

  /** A duration given in seconds. */
  public static Duration seconds(JsonNode map, String name) throws MalformedMessageException {
    return duration(amount(map, name));
  }

  /** A duration from seconds; absurdly long ones are cut, not overflowed. */
  public static Duration duration(double seconds) {
    return Duration.ofNanos((long) (Math.min(seconds, MAX_SECONDS) * 1e9));
  }

  /** Seconds of a duration. */
  public static double seconds(Duration d) {
    return d.toNanos() / 1e9;
  }

  /** A whole number within bounds. */
  public static long integer(JsonNode map, String name, long min, long max)
      throws MalformedMessageException {
    JsonNode n =
        get(map, name).orElseThrow(() -> new MalformedMessageException(name + ": missing"));
    if (!n.isIntegralNumber() || !n.canConvertToLong()) {
      throw new MalformedMessageException(name + ": a whole number expected");
    }
    long v = n.longValue();
    if (v < min || v > max) {
      throw new MalformedMessageException(name + ": " + min + " to " + max + " expected");
    }
    return v;
  }

  /** A truth value. */
  public static boolean flag(JsonNode map, String name) throws MalformedMessageException {
    JsonNode n =
        get(map, name).orElseThrow(() -> new MalformedMessageException(name + ": missing"));
    if (!n.isBoolean()) {
      throw new MalformedMessageException(name + ": true or false expected");
    }
    return n.booleanValue();
  }

  /** A list of maps or texts; empty when it is missing. */
  public static List<JsonNode> list(JsonNode map, String name) throws MalformedMessageException {
    Optional<JsonNode> n = get(map, name);
    if (n.isEmpty()) {
      return List.of();
    }
    if (!n.get().isArray()) {
      throw new MalformedMessageException(name + ": a list expected");
    }
    List<JsonNode> result = new ArrayList<>();
    n.get().forEach(result::add);
    return result;
  }

  /** A list of texts; empty when the list itself is missing. */
  public static Optional<List<String>> texts(JsonNode map, String name)
      throws MalformedMessageException {
    if (get(map, name).isEmpty()) {
      return Optional.empty();
    }
    List<String> result = new ArrayList<>();
    for (JsonNode n : list(map, name)) {
      if (!n.isTextual() || n.textValue().isEmpty() || n.textValue().length() > LONGEST_TEXT) {
        throw new MalformedMessageException(name + ": texts expected");
      }
      result.add(n.textValue());
    }
    return Optional.of(result);
  }
}
