package io.pearscale.scheduler.model;

import java.util.LinkedHashMap;

/**
 * Which images a machine is taken to have, from what ran there: the least recently used ones are
 * dropped when they exceed the machine's cache.
 */
public final class ImageCache {
  /** Sizes in gigabytes; the least recently used first. */
  private final LinkedHashMap<String, Double> sizes = new LinkedHashMap<>(8, 0.75f, true);

  /** Whether the image is taken to be there. */
  public boolean contains(String image) {
    return sizes.containsKey(image);
  }

  /** Whether no image is known to be there. */
  public boolean isEmpty() {
    return sizes.isEmpty();
  }

  /** Nothing is known of the images any more. */
  void clear() {
    sizes.clear();
  }

  /** A task with the image runs: the agent has it, and may have dropped others for it. */
  void recordUse(String image, double sizeGb, double capacityGb) {
    sizes.put(image, sizeGb);
    double totalGb = 0;
    for (double cachedGb : sizes.values()) {
      totalGb += cachedGb;
    }
    var iterator = sizes.entrySet().iterator();
    while (totalGb > capacityGb && iterator.hasNext()) {
      var leastRecentlyUsed = iterator.next();
      if (leastRecentlyUsed.getKey().equals(image)) {
        break;
      }
      totalGb -= leastRecentlyUsed.getValue();
      iterator.remove();
    }
  }
}
