package io.pearscale.scheduler.maintenance;

import com.fasterxml.jackson.databind.JsonNode;
import io.pearscale.drain.Disruption;
import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.protocol.TaskId;
import io.pearscale.scheduler.records.LeaderTransaction;
import io.pearscale.scheduler.records.RecordPacker;
import io.pearscale.scheduler.records.TransactionContributor;
import io.pearscale.storage.Keys;
import io.pearscale.storage.StoreReplicaActor.KeyChange;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * The stored records of voluntary disruptions. A disruption is durable before the stop command of
 * its task is sent, so if the leader fails in between, the next leader counts it against the
 * budgets.
 */
final class DisruptionRecords implements TransactionContributor {
  /** Maximum size in bytes of a packed value, even if the store accepts larger values. */
  private static final int MAX_PACKED_VALUE_BYTES = 3000;

  /**
   * The content of a transaction in flight.
   *
   * @param disruptions pending disruptions that become durable with the transaction
   * @param values numbers of the values that the transaction writes
   */
  private record InFlight(List<Disruption> disruptions, List<Integer> values) {}

  private final Runnable requestCommit;
  private final Consumer<Disruption> onDurable;
  private final int packedValueBytes;
  private final Map<String, JsonNode> stored = new TreeMap<>();
  private final Set<Disruption> pending = new LinkedHashSet<>();
  private final Map<LeaderTransaction, InFlight> inFlight = new HashMap<>();
  private RecordPacker<Disruption> packer;

  /**
   * Creates an empty set of records.
   *
   * @param maxValueBytes maximum size in bytes of a value that the store accepts
   * @param requestCommit requests a transaction as soon as possible
   * @param onDurable receives each disruption once it is durable
   */
  DisruptionRecords(int maxValueBytes, Runnable requestCommit, Consumer<Disruption> onDurable) {
    this.packedValueBytes = Math.min(MAX_PACKED_VALUE_BYTES, maxValueBytes / 2);
    this.requestCommit = requestCommit;
    this.onDurable = onDurable;
    this.packer = new RecordPacker<>(packedValueBytes);
  }

  /** Removes all stored values before a new snapshot is delivered. */
  void clearStoredValues() {
    stored.clear();
  }

  /** Applies a change to a stored value. */
  void applyChange(KeyChange change) {
    change
        .entry()
        .ifPresentOrElse(
            entry -> stored.put(change.key(), entry.value()), () -> stored.remove(change.key()));
  }

  /**
   * Loads the stored disruptions at the beginning of a term, and returns them.
   *
   * @throws MalformedMessageException if a value can't be read; the message names its key
   */
  List<Disruption> beginTerm() throws MalformedMessageException {
    clear();
    List<Disruption> all = new ArrayList<>();
    for (Map.Entry<String, JsonNode> value : stored.entrySet()) {
      try {
        for (Disruption disruption : Disruption.decode(value.getValue())) {
          packer.adopt(disruption, disruption.maxEncodedSize(), Keys.valueNumber(value.getKey()));
          all.add(disruption);
        }
      } catch (MalformedMessageException e) {
        throw new MalformedMessageException(value.getKey() + ": " + e.getMessage());
      }
    }
    return all;
  }

  /** Discards all records at the end of the term. */
  void clear() {
    packer = new RecordPacker<>(packedValueBytes);
    pending.clear();
    inFlight.clear();
  }

  /** Records a disruption as soon as possible; its task may be stopped once it is durable. */
  void record(Disruption disruption) {
    packer.assignSlot(disruption, disruption.maxEncodedSize());
    packer.markDue(disruption);
    pending.add(disruption);
    requestCommit.run();
  }

  /** Removes a disruption that no longer counts against the budgets. */
  void remove(Disruption disruption) {
    pending.remove(disruption);
    packer.markDue(disruption);
    packer.remove(disruption);
  }

  /** Returns whether the task has a recorded disruption that is not yet durable. */
  boolean isPending(TaskId task) {
    return pending.stream().anyMatch(disruption -> disruption.task().equals(task));
  }

  @Override
  public boolean isDue() {
    return !packer.urgentValues().isEmpty();
  }

  @Override
  public void contribute(LeaderTransaction transaction) {
    List<Disruption> included = new ArrayList<>();
    List<Integer> valueNumbers = new ArrayList<>();
    for (int valueNumber : packer.urgentValues()) {
      if (!transaction.hasCapacity()) {
        break;
      }
      List<Disruption> content = List.copyOf(packer.itemsByPosition(valueNumber).values());
      transaction.addUntrackedValue(
          Keys.disruptions(valueNumber),
          Disruption.encode(content),
          content.stream().mapToInt(Disruption::maxEncodedSize).sum());
      packer.markSent(valueNumber);
      valueNumbers.add(valueNumber);
      content.stream().filter(pending::contains).forEach(included::add);
    }
    inFlight.put(transaction, new InFlight(included, valueNumbers));
  }

  @Override
  public void onApplied(LeaderTransaction transaction) {
    InFlight carried = inFlight.remove(transaction);
    if (carried == null) {
      return;
    }
    for (Disruption disruption : carried.disruptions) {
      if (pending.remove(disruption)) {
        onDurable.accept(disruption);
      }
    }
  }

  @Override
  public void onNotApplied(LeaderTransaction transaction) {
    InFlight carried = inFlight.remove(transaction);
    if (carried != null) {
      carried.values.forEach(packer::markDue);
    }
  }
}
