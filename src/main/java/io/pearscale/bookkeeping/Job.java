package io.pearscale.bookkeeping;

import com.fasterxml.jackson.databind.JsonNode;
import io.pearscale.protocol.JobSpec;
import io.pearscale.transport.MessagePack;
import java.time.Instant;
import java.util.Base64;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** A job that is not over, as the leader sees it. */
final class Job {
  /** Tasks of one progress key: two bit sets of this size stay well below any value limit. */
  static final int CHUNK = 8192;

  final JobSpec spec;
  final long stamp;
  final Instant submitted;

  /** Tasks that a start command may ever have been sent for, as far as it is durable. */
  final BitSet opened = new BitSet();

  /** Tasks that are done; {@link #durableDone} says for which of them a successor would know. */
  final BitSet done = new BitSet();

  final BitSet durableDone = new BitSet();

  /** Opened tasks that were not seen since the takeover: they may be on any unsettled machine. */
  final BitSet unknown = new BitSet();

  final Map<Integer, Placement> placed = new HashMap<>();
  private final Map<String, Integer> byZone = new HashMap<>();
  final Set<String> failedOn = new HashSet<>();
  Instant notBefore = Instant.MIN;
  boolean succeeded;

  Job(JobSpec spec, long stamp, Instant submitted) {
    this.spec = spec;
    this.stamp = stamp;
    this.submitted = submitted;
  }

  void add(Placement p) {
    placed.put(p.task.index(), p);
    byZone.merge(p.machine.zone, 1, Integer::sum);
  }

  void remove(Placement p) {
    if (placed.remove(p.task.index(), p)) {
      byZone.merge(p.machine.zone, -1, Integer::sum);
    }
  }

  /** Forgets all that only a leader knows. */
  void forget() {
    placed.clear();
    byZone.clear();
    unknown.clear();
    opened.clear();
    done.clear();
    durableDone.clear();
  }

  int pending() {
    return spec.tasks() - done.cardinality() - placed.size() - unknown.cardinality();
  }

  boolean complete() {
    return !spec.service() && done.cardinality() >= spec.tasks();
  }

  /** The next task that waits for a machine, from {@code from} on, or -1. */
  int nextPending(int from) {
    for (int i = from; i < spec.tasks(); i++) {
      if (!done.get(i) && !unknown.get(i) && !placed.containsKey(i)) {
        return i;
      }
    }
    return -1;
  }

  int running() {
    int n = 0;
    for (Placement p : placed.values()) {
      if (p.stage == Placement.Stage.RUNNING || p.stage == Placement.Stage.SAVING) {
        n++;
      }
    }
    return n;
  }

  int inZone(String zone) {
    return unknown.cardinality() + byZone.getOrDefault(zone, 0);
  }

  /** Whether no task is placed outside of the zone. */
  boolean onlyIn(String zone) {
    return byZone.getOrDefault(zone, 0) == placed.size();
  }

  JsonNode progress(int chunk) {
    return MessagePack.map().put("o", pack(opened, chunk)).put("f", pack(done, chunk));
  }

  void readProgress(int chunk, JsonNode value) {
    unpack(value.path("o").asText(), chunk, opened);
    unpack(value.path("f").asText(), chunk, done);
    durableDone.or(done);
  }

  private static String pack(BitSet bits, int chunk) {
    byte[] bytes = bits.get(chunk * CHUNK, (chunk + 1) * CHUNK).toByteArray();
    return Base64.getEncoder().encodeToString(bytes);
  }

  private void unpack(String text, int chunk, BitSet into) {
    try {
      BitSet bits = BitSet.valueOf(Base64.getDecoder().decode(text));
      for (int i = bits.nextSetBit(0); i >= 0; i = bits.nextSetBit(i + 1)) {
        int index = chunk * CHUNK + i;
        if (index < spec.tasks()) {
          into.set(index);
        }
      }
    } catch (IllegalArgumentException e) {
      // Not written by us. Assume the worst, that everything was opened.
      opened.set(0, spec.tasks());
    }
  }
}
