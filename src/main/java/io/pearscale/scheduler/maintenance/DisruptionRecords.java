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
 * The voluntary disruptions that count, as a successor finds them. One is durable before the stop
 * of its task is sent: a leader that ends in between leaves it as spent.
 */
final class DisruptionRecords implements TransactionContributor {
  /** Values are filled to so many bytes. */
  private static final int MAX_PACKED_VALUE_BYTES = 3000;

  private final Runnable requestCommit;
  private final Consumer<Disruption> onDurable;
  private final int packedValueBytes;
  private final Map<String, JsonNode> stored = new TreeMap<>();
  private final Set<Disruption> pending = new LinkedHashSet<>();
  private final Map<LeaderTransaction, List<Disruption>> disruptionsInFlight = new HashMap<>();
  private final Map<LeaderTransaction, List<Integer>> valuesInFlight = new HashMap<>();
  private RecordPacker<Disruption> packer;

  /**
   * Makes empty records.
   *
   * @param onDurable is told of each disruption once it is durable
   */
  DisruptionRecords(int maxValueBytes, Runnable requestCommit, Consumer<Disruption> onDurable) {
    this.packedValueBytes = Math.min(MAX_PACKED_VALUE_BYTES, maxValueBytes / 2);
    this.requestCommit = requestCommit;
    this.onDurable = onDurable;
    this.packer = new RecordPacker<>(packedValueBytes);
  }

  /** All keys are about to be read anew. */
  void forgetStored() {
    stored.clear();
  }

  /** A stored value has changed. */
  void storedChanged(KeyChange change) {
    change
        .entry()
        .ifPresentOrElse(
            entry -> stored.put(change.key(), entry.value()), () -> stored.remove(change.key()));
  }

  /** A term begins: takes over what is stored, and returns it. */
  List<Disruption> beginTerm() throws MalformedMessageException {
    clear();
    List<Disruption> all = new ArrayList<>();
    for (Map.Entry<String, JsonNode> value : stored.entrySet()) {
      try {
        for (Disruption disruption : Disruption.decode(value.getValue())) {
          packer.adopt(disruption, disruption.maximumSize(), Keys.valueNumber(value.getKey()));
          all.add(disruption);
        }
      } catch (MalformedMessageException e) {
        throw new MalformedMessageException(value.getKey() + ": " + e.getMessage());
      }
    }
    return all;
  }

  /** The term is over. */
  void clear() {
    packer = new RecordPacker<>(packedValueBytes);
    pending.clear();
    disruptionsInFlight.clear();
    valuesInFlight.clear();
  }

  /** The disruption is to be recorded before it is carried out. */
  void record(Disruption disruption) {
    packer.assignSlot(disruption, disruption.maximumSize());
    packer.markDue(disruption);
    pending.add(disruption);
    requestCommit.run();
  }

  /** The disruption does not count any more; its value is written without it in time. */
  void remove(Disruption disruption) {
    pending.remove(disruption);
    packer.markDue(disruption);
    packer.remove(disruption);
  }

  /** Whether the task's stop waits for its record. */
  boolean isPending(TaskId task) {
    return pending.stream().anyMatch(disruption -> disruption.task().equals(task));
  }

  @Override
  public boolean isDue() {
    return !packer.urgentValues().isEmpty();
  }

  @Override
  public void contribute(LeaderTransaction transaction) {
    List<Disruption> going = new ArrayList<>();
    List<Integer> numbers = new ArrayList<>();
    for (int number : packer.urgentValues()) {
      if (!transaction.hasCapacity()) {
        break;
      }
      List<Disruption> content = List.copyOf(packer.itemsByPosition(number).values());
      transaction.addUntrackedValue(
          Keys.disruptions(number),
          Disruption.encode(content),
          content.stream().mapToInt(Disruption::maximumSize).sum());
      packer.markSent(number);
      numbers.add(number);
      content.stream().filter(pending::contains).forEach(going::add);
    }
    disruptionsInFlight.put(transaction, going);
    valuesInFlight.put(transaction, numbers);
  }

  @Override
  public void onApplied(LeaderTransaction transaction) {
    valuesInFlight.remove(transaction);
    for (Disruption disruption : disruptionsInFlight.getOrDefault(transaction, List.of())) {
      if (pending.remove(disruption)) {
        onDurable.accept(disruption);
      }
    }
    disruptionsInFlight.remove(transaction);
  }

  @Override
  public void onNotApplied(LeaderTransaction transaction) {
    disruptionsInFlight.remove(transaction);
    valuesInFlight.getOrDefault(transaction, List.of()).forEach(packer::markDue);
    valuesInFlight.remove(transaction);
  }
}
