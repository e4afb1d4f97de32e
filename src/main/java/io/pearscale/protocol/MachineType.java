package io.pearscale.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.transport.MessagePack;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * A type of machine in the cloud's catalogue.
 *
 * @param cpus processor cores
 * @param gpus accelerators
 * @param imageCacheGb room for images
 * @param fetchGbPerSecond the rate at which a machine fetches images, all of them together
 * @param onDemandPrice the price of an hour on demand
 * @param spotPrice the price of an hour as a spot machine
 * @param bootTime how long such a machine usually takes to boot
 * @param zones the zones that offer it
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

  /** How long such a machine takes to fetch an image of that size, if it fetches nothing else. */
  public Duration fetchTime(double imageGb) {
    return MessageFields.duration(imageGb / Math.max(1e-3, fetchGbPerSecond));
  }

  /** Reads a catalogue; types that break the protocol are left out. */
  public static List<MachineType> parseAll(JsonNode body) {
    List<MachineType> result = new ArrayList<>();
    try {
      for (JsonNode entry : MessageFields.list(MessageFields.requireMap(body), "breeds")) {
        try {
          result.add(parse(entry));
        } catch (MalformedMessageException e) {
          // One bad line must not hide the others.
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

  /** The type as the cloud writes it. */
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

  /** The price of an hour, as a spot machine or on demand. */
  public double hourlyPrice(boolean spot) {
    return spot ? spotPrice : onDemandPrice;
  }
}
