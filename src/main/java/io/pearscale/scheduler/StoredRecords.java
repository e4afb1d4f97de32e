package io.pearscale.scheduler;

import com.fasterxml.jackson.databind.JsonNode;
import io.pearscale.protocol.Malformed;
import io.pearscale.storage.Keys;
import io.pearscale.storage.Marks;
import io.pearscale.storage.Roster;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What the state service holds of machines and tasks, decoded as a whole before a new leader takes
 * any of it over. A record that can't be read fails the whole: a leader that passed it over would
 * start its tasks a second time.
 *
 * @param machines the entries of each value of the roster, by its number
 * @param tasks the parts of each value of marks, by its number
 */
record StoredRecords(
    Map<Integer, List<Roster.Entry>> machines, Map<Integer, List<Marks.Part>> tasks) {
  /** Reads a record's value. */
  private interface Decoder<T> {
    List<T> decode(JsonNode value) throws Malformed;
  }

  /** Decodes all records; the message of what is thrown names the key that can't be read. */
  static StoredRecords decode(Map<String, JsonNode> roster, Map<String, JsonNode> marks)
      throws Malformed {
    return new StoredRecords(decode(roster, Roster::decode), decode(marks, Marks::decode));
  }

  private static <T> Map<Integer, List<T>> decode(Map<String, JsonNode> values, Decoder<T> decoder)
      throws Malformed {
    Map<Integer, List<T>> decoded = new LinkedHashMap<>();
    for (Map.Entry<String, JsonNode> value : values.entrySet()) {
      try {
        decoded.put(Keys.number(value.getKey()), decoder.decode(value.getValue()));
      } catch (Malformed | NumberFormatException e) {
        throw new Malformed(value.getKey() + ": " + e.getMessage());
      }
    }
    return decoded;
  }
}
