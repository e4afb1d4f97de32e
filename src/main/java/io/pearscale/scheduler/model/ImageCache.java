package io.pearscale.scheduler.model;

import java.util.LinkedHashMap;

/**
 * Model of a machine's image cache, derived from the tasks that ran on the machine. When the images
 * exceed the cache's capacity, the least recently used ones are evicted.
 */
public final class ImageCache {
  /** Image sizes in gigabytes, in access order, least recently used first. */
  private final LinkedHashMap<String, Double> sizes = new LinkedHashMap<>(8, 0.75f, true);

  /** Returns whether the image is assumed to be cached. */
  public boolean contains(String image) {
    return sizes.containsKey(image);
  }

  /** Returns whether no image is known to be cached. */
  public boolean isEmpty() {
    return sizes.isEmpty();
  }

  /** Removes all images, because the contents of the cache are unknown. */
  void clear() {
    sizes.clear();
  }

  /**
   * Records that a task with the image runs. The agent has the image and may have evicted others to
   * make space for it.
   */
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
