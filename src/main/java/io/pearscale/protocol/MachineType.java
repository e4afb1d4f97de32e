package io.pearscale.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.transport.MessagePack;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** A line of the cloud's catalogue. */
public record MachineType(
    String name,
    double cpus,
    double gpus,
    double memoryGb,
    double cacheGb,
    double fetchGbPerSecond,
    double price,
    double spotPrice,
    Duration boot,
    List<String> zones) {

  /** How long such a machine takes to fetch an image of that size, if it fetches nothing else. */
  public Duration fetchTime(double gb) {
    return Fields.duration(gb / Math.max(1e-3, fetchGbPerSecond));
  }

  /** Reads a catalogue; lines that break the protocol are left out. */
  public static List<MachineType> parseAll(JsonNode body) {
    List<MachineType> result = new ArrayList<>();
    try {
      for (JsonNode n : Fields.list(Fields.map(body), "breeds")) {
        try {
          result.add(parse(n));
        } catch (MalformedMessageException e) {
          continue;
        }
      }
    } catch (MalformedMessageException e) {
      return List.of();
    }
    return result;
  }

  private static MachineType parse(JsonNode n) throws MalformedMessageException {
    Fields.map(n);
    return new MachineType(
        Fields.text(n, "sku"),
        Fields.amount(n, "vcpus"),
        Fields.optAmount(n, "accelerators").orElse(0.0),
        Fields.amount(n, "memoryGb"),
        Fields.optAmount(n, "cacheGb").orElse(0.0),
        Fields.optAmount(n, "fetchGbPerS").orElse(0.1),
        Fields.amount(n, "rate"),
        Fields.optAmount(n, "marketPrice").orElse(Fields.amount(n, "rate")),
        Fields.seconds(n, "readyS"),
        Fields.texts(n, "yards").orElse(List.of()));
  }

  /** Writes the line as the cloud would. */
  public ObjectNode toNode() {
    ObjectNode n =
        MessagePack.map()
            .put("sku", name)
            .put("vcpus", cpus)
            .put("accelerators", gpus)
            .put("memoryGb", memoryGb)
            .put("cacheGb", cacheGb)
            .put("fetchGbPerS", fetchGbPerSecond)
            .put("rate", price)
            .put("marketPrice", spotPrice)
            .put("readyS", Fields.seconds(boot));
    var list = n.putArray("yards");
    zones.forEach(list::add);
    return n;
  }

  /** The price of an hour on a machine of this kind. */
  public double price(boolean spot) {
    return spot ? spotPrice : price;
  }
}
