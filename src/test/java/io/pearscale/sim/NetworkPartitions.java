package io.pearscale.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The partitions of the simulated network: between two hosts, between a host and a group of others,
 * and around a zone, whose hosts still reach each other. A partition loses messages, or buffers
 * them until it heals.
 */
final class NetworkPartitions {
  /** Tells where a host is. */
  interface HostLocator {
    /** Returns the zone of a machine, or empty if the host is not a machine. */
    Optional<String> zoneOfMachine(String host);
  }

  private final HostLocator hosts;
  private final Set<String> partitions = new HashSet<>();
  private final Set<String> bufferingPartitions = new HashSet<>();
  private final Map<String, List<Runnable>> bufferedMessages = new HashMap<>();

  /** The zone that is partitioned from all other hosts; empty if there is none. */
  private Optional<String> isolatedZone = Optional.empty();

  /** The controllers in the isolated zone. */
  private final Set<String> isolatedControllers = new HashSet<>();

  private boolean isolationBuffers;

  NetworkPartitions(HostLocator hosts) {
    this.hosts = hosts;
  }

  /**
   * Partitions the network between two hosts, or between a host and {@code all} or {@code workers}.
   *
   * @param buffer whether messages are delivered when the partition heals, rather than lost
   */
  void partition(String one, String other, boolean buffer) {
    partitions.add(pair(one, other));
    if (buffer) {
      bufferingPartitions.add(pair(one, other));
    }
  }

  /** Heals a partition; {@code redeliver} receives its buffered messages, in order. */
  void heal(String one, String other, Consumer<Runnable> redeliver) {
    partitions.remove(pair(one, other));
    bufferingPartitions.remove(pair(one, other));
    deliverBuffered(redeliver);
  }

  /**
   * Partitions the machines of a zone, and the given controllers, from all other hosts.
   *
   * @param buffer whether messages are delivered when the partition heals, rather than lost
   */
  void isolateZone(String zone, List<String> controllers, boolean buffer) {
    isolatedZone = Optional.of(zone);
    isolatedControllers.addAll(controllers);
    isolationBuffers = buffer;
  }

  /** Heals the partition around the zone; {@code redeliver} receives its buffered messages. */
  void rejoinZone(Consumer<Runnable> redeliver) {
    isolatedZone = Optional.empty();
    isolatedControllers.clear();
    isolationBuffers = false;
    deliverBuffered(redeliver);
  }

  /** Returns whether messages between the two hosts are lost or buffered. */
  boolean separates(String one, String other) {
    return matches(partitions, one, other) || isIsolated(one) != isIsolated(other);
  }

  /** Returns whether the host is in the isolated zone. */
  boolean isIsolated(String host) {
    return isolatedZone.isPresent()
        && (isolatedControllers.contains(host) || hosts.zoneOfMachine(host).equals(isolatedZone));
  }

  /** Buffers or loses a message between two hosts that are separated. */
  void intercept(String from, String to, Runnable deliver) {
    boolean isolation = isIsolated(from) != isIsolated(to);
    if (matches(bufferingPartitions, from, to) || (isolation && isolationBuffers)) {
      bufferedMessages.computeIfAbsent(pair(from, to), k -> new ArrayList<>()).add(deliver);
    }
  }

  private void deliverBuffered(Consumer<Runnable> redeliver) {
    for (String key : List.copyOf(bufferedMessages.keySet())) {
      String[] ends = key.split("\\|");
      if (!separates(ends[0], ends[1])) {
        bufferedMessages.remove(key).forEach(redeliver);
      }
    }
  }

  private static String pair(String one, String other) {
    return one.compareTo(other) < 0 ? one + "|" + other : other + "|" + one;
  }

  private boolean matches(Set<String> set, String one, String other) {
    return set.contains(pair(one, other))
        || set.contains(pair(one, "all"))
        || set.contains(pair(other, "all"))
        || (isMachine(other) && set.contains(pair(one, "workers")))
        || (isMachine(one) && set.contains(pair(other, "workers")));
  }

  private boolean isMachine(String host) {
    return hosts.zoneOfMachine(host).isPresent();
  }
}
