package io.pearscale.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.transport.MessagePack;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * A machine type of the cloud's catalogue.
 *
 * @param cpus processor cores
 * @param gpus accelerators
 * @param imageCacheGb the capacity of the image cache in GB
 * @param fetchGbPerSecond the total rate at which a machine fetches images
 * @param onDemandPrice the price per hour on demand
 * @param spotPrice the price per hour as a spot machine
 * @param bootTime the usual boot time
 * @param zones the zones that offer the type
 */
public record MachineType(
    String name,
    double cpus,
    double gpus,
    double memoryGb,
    double imageCacheGb,
    double fetchGbPerSecond,
    double onDemandPrice,
    double spotPrice,
    Duration bootTime,
    List<String> zones) {

  /**
   * Returns how long a machine takes to fetch an image of the given size while it fetches no other.
   */
  public Duration fetchTime(double imageGb) {
    return MessageFields.duration(imageGb / Math.max(1e-3, fetchGbPerSecond));
  }

  /** Parses a catalogue and skips invalid entries. */
  public static List<MachineType> parseAll(JsonNode body) {
    List<MachineType> result = new ArrayList<>();
    try {
      for (JsonNode entry : MessageFields.list(MessageFields.requireMap(body), "breeds")) {
        try {
          result.add(parse(entry));
        } catch (MalformedMessageException e) {
          // An invalid entry must not hide the valid ones.
        }
      }
    } catch (MalformedMessageException e) {
      return List.of();
    }
    return result;
  }

  private static MachineType parse(JsonNode node) throws MalformedMessageException {
    MessageFields.requireMap(node);
    return new MachineType(
        MessageFields.text(node, "sku"),
        MessageFields.amount(node, "vcpus"),
        MessageFields.optionalAmount(node, "accelerators").orElse(0.0),
        MessageFields.amount(node, "memoryGb"),
        MessageFields.optionalAmount(node, "cacheGb").orElse(0.0),
        MessageFields.optionalAmount(node, "fetchGbPerS").orElse(0.1),
        MessageFields.amount(node, "rate"),
        MessageFields.optionalAmount(node, "marketPrice")
            .orElse(MessageFields.amount(node, "rate")),
        MessageFields.seconds(node, "readyS"),
        MessageFields.strings(node, "yards").orElse(List.of()));
  }

  /** Returns the type in the format of the cloud's catalogue. */
  public ObjectNode toNode() {
    ObjectNode node =
        MessagePack.map()
            .put("sku", name)
            .put("vcpus", cpus)
            .put("accelerators", gpus)
            .put("memoryGb", memoryGb)
            .put("cacheGb", imageCacheGb)
            .put("fetchGbPerS", fetchGbPerSecond)
            .put("rate", onDemandPrice)
            .put("marketPrice", spotPrice)
            .put("readyS", MessageFields.seconds(bootTime));
    var list = node.putArray("yards");
    zones.forEach(list::add);
    return node;
  }

  /** Returns the price per hour, as a spot machine or on demand. */
  public double hourlyPrice(boolean spot) {
    return spot ? spotPrice : onDemandPrice;
  }
}
