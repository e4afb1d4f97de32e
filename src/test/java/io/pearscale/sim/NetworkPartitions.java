package io.pearscale.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * The partitions of the simulated network, between two hosts or between a host and a group of
 * others. A partition loses messages, or buffers them until it heals.
 */
final class NetworkPartitions {
  private final Predicate<String> isMachine;
  private final Set<String> partitions = new HashSet<>();
  private final Set<String> bufferingPartitions = new HashSet<>();
  private final Map<String, List<Runnable>> bufferedMessages = new HashMap<>();

  /**
   * Creates a network without partitions.
   *
   * @param isMachine tests whether the host with the given name is a machine
   */
  NetworkPartitions(Predicate<String> isMachine) {
    this.isMachine = isMachine;
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
    for (String key : List.copyOf(bufferedMessages.keySet())) {
      String[] ends = key.split("\\|");
      if (!separates(ends[0], ends[1])) {
        bufferedMessages.remove(key).forEach(redeliver);
      }
    }
  }

  /** Returns whether messages between the two hosts are lost or buffered. */
  boolean separates(String one, String other) {
    return matches(partitions, one, other);
  }

  /** Buffers or loses a message between two hosts that are separated. */
  void intercept(String from, String to, Runnable deliver) {
    if (matches(bufferingPartitions, from, to)) {
      bufferedMessages.computeIfAbsent(pair(from, to), k -> new ArrayList<>()).add(deliver);
    }
  }

  private static String pair(String one, String other) {
    return one.compareTo(other) < 0 ? one + "|" + other : other + "|" + one;
  }

  private boolean matches(Set<String> set, String one, String other) {
    return set.contains(pair(one, other))
        || set.contains(pair(one, "all"))
        || set.contains(pair(other, "all"))
        || (isMachine.test(other) && set.contains(pair(one, "workers")))
        || (isMachine.test(one) && set.contains(pair(other, "workers")));
  }
}
