package io.pearscale.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Validated access to the fields of a message. A null field counts as missing. */
public final class MessageFields {
  private static final double MAX_SECONDS = 1e9;

  /** The largest valid amount. */
  static final double MAX_AMOUNT = 1e9;

  /** The maximum length of a text, in characters. */
  static final int MAX_TEXT_LENGTH = 200;

  private MessageFields() {}

  private static Optional<JsonNode> get(JsonNode map, String name) {
    JsonNode node = map.get(name);
    return node == null || node.isNull() ? Optional.empty() : Optional.of(node);
  }

  /** Returns the node if it is a map, and throws otherwise. */
  public static JsonNode requireMap(JsonNode node) throws MalformedMessageException {
    if (!node.isObject()) {
      throw new MalformedMessageException("not a map");
    }
    return node;
  }

  /** Returns a text of any length; empty if the field is missing. */
  public static Optional<String> optionalText(JsonNode map, String name)
      throws MalformedMessageException {
    Optional<JsonNode> node = get(map, name);
    if (node.isPresent() && !node.get().isTextual()) {
      throw new MalformedMessageException(name + ": text expected");
    }
    return node.map(JsonNode::textValue);
  }

  /** Returns a required text of 1 to 200 characters. */
  public static String text(JsonNode map, String name) throws MalformedMessageException {
    String text =
        optionalText(map, name)
            .orElseThrow(() -> new MalformedMessageException(name + ": missing"));
    if (text.isEmpty() || text.length() > MAX_TEXT_LENGTH) {
      throw new MalformedMessageException(name + ": 1 to 200 characters expected");
    }
    return text;
  }

  /** Returns an amount from 0 to 1e9; empty if the field is missing. */
  public static Optional<Double> optionalAmount(JsonNode map, String name)
      throws MalformedMessageException {
    Optional<JsonNode> node = get(map, name);
    if (node.isEmpty()) {
      return Optional.empty();
    }
    double value = node.get().isNumber() ? node.get().doubleValue() : Double.NaN;
    if (!(value >= 0 && value <= MAX_AMOUNT)) {
      throw new MalformedMessageException(name + ": a number of at least 0 expected");
    }
    return Optional.of(value);
  }

  /** Returns a required amount from 0 to 1e9. */
  public static double amount(JsonNode map, String name) throws MalformedMessageException {
    return optionalAmount(map, name)
        .orElseThrow(() -> new MalformedMessageException(name + ": missing"));
  }

  /** Returns a required duration, which the message specifies in seconds. */
  public static Duration seconds(JsonNode map, String name) throws MalformedMessageException {
    return duration(amount(map, name));
  }

  /** Converts seconds to a duration of at most 1e9 s, so that large values do not overflow. */
  public static Duration duration(double seconds) {
    return Duration.ofNanos((long) (Math.min(seconds, MAX_SECONDS) * 1e9));
  }

  /** Converts a duration to seconds. */
  public static double seconds(Duration duration) {
    return duration.toNanos() / 1e9;
  }

  /** Returns a required integer from {@code min} to {@code max}. */
  public static long integer(JsonNode map, String name, long min, long max)
      throws MalformedMessageException {
    JsonNode node =
        get(map, name).orElseThrow(() -> new MalformedMessageException(name + ": missing"));
    if (!node.isIntegralNumber() || !node.canConvertToLong()) {
      throw new MalformedMessageException(name + ": a whole number expected");
    }
    long value = node.longValue();
    if (value < min || value > max) {
      throw new MalformedMessageException(name + ": " + min + " to " + max + " expected");
    }
    return value;
  }

  /** Returns a required boolean. */
  public static boolean bool(JsonNode map, String name) throws MalformedMessageException {
    JsonNode node =
        get(map, name).orElseThrow(() -> new MalformedMessageException(name + ": missing"));
    if (!node.isBoolean()) {
      throw new MalformedMessageException(name + ": true or false expected");
    }
    return node.booleanValue();
  }

  /** Returns the elements of a list, of any type; empty if the field is missing. */
  public static List<JsonNode> list(JsonNode map, String name) throws MalformedMessageException {
    Optional<JsonNode> node = get(map, name);
    if (node.isEmpty()) {
      return List.of();
    }
    if (!node.get().isArray()) {
      throw new MalformedMessageException(name + ": a list expected");
    }
    List<JsonNode> result = new ArrayList<>();
    node.get().forEach(result::add);
    return result;
  }

  /** Returns a list of texts of 1 to 200 characters; empty if the field is missing. */
  public static Optional<List<String>> strings(JsonNode map, String name)
      throws MalformedMessageException {
    if (get(map, name).isEmpty()) {
      return Optional.empty();
    }
    List<String> result = new ArrayList<>();
    for (JsonNode element : list(map, name)) {
      if (!element.isTextual()
          || element.textValue().isEmpty()
          || element.textValue().length() > MAX_TEXT_LENGTH) {
        throw new MalformedMessageException(name + ": texts expected");
      }
      result.add(element.textValue());
    }
    return Optional.of(result);
  }
}
