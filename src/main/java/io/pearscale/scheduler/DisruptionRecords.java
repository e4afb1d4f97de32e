package io.pearscale.scheduler;

import com.fasterxml.jackson.databind.JsonNode;
import io.pearscale.drain.Disruption;
import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.protocol.TaskId;
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
  private static final int VALUE_SIZE = 3000;

  private final Runnable requestCommit;
  private final Consumer<Disruption> durable;
  private final int valueSize;
  private final Map<String, JsonNode> stored = new TreeMap<>();
  private final Set<Disruption> notDurable = new LinkedHashSet<>();
  private final Map<LeaderTransaction, List<Disruption>> sent = new HashMap<>();
  private final Map<LeaderTransaction, List<Integer>> values = new HashMap<>();
  private RecordPacker<Disruption> shards;

  /**
   * Makes empty records.
   *
   * @param durable is told of each disruption once it is durable
   */
  DisruptionRecords(int largestValue, Runnable requestCommit, Consumer<Disruption> durable) {
    this.valueSize = Math.min(VALUE_SIZE, largestValue / 2);
    this.requestCommit = requestCommit;
    this.durable = durable;
    this.shards = new RecordPacker<>(valueSize);
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
            e -> stored.put(change.key(), e.value()), () -> stored.remove(change.key()));
  }

  /** A term begins: takes over what is stored, and returns it. */
  List<Disruption> begin() throws MalformedMessageException {
    clear();
    List<Disruption> all = new ArrayList<>();
    for (Map.Entry<String, JsonNode> value : stored.entrySet()) {
      try {
        for (Disruption disruption : Disruption.decode(value.getValue())) {
          shards.adopt(disruption, disruption.size(), Keys.valueNumber(value.getKey()));
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
    shards = new RecordPacker<>(valueSize);
    notDurable.clear();
    sent.clear();
    values.clear();
  }

  /** The disruption is to be recorded before it is carried out. */
  void record(Disruption disruption) {
    shards.assignSlot(disruption, disruption.size());
    shards.markDue(disruption);
    notDurable.add(disruption);
    requestCommit.run();
  }

  /** The disruption does not count any more; its value is written without it in time. */
  void remove(Disruption disruption) {
    notDurable.remove(disruption);
    shards.markDue(disruption);
    shards.remove(disruption);
  }

  /** Whether the task's stop waits for its record. */
  boolean isPending(TaskId task) {
    return notDurable.stream().anyMatch(d -> d.task().equals(task));
  }

  @Override
  public boolean isDue() {
    return !shards.urgentValues().isEmpty();
  }

  @Override
  public void contribute(LeaderTransaction transaction) {
    List<Disruption> going = new ArrayList<>();
    List<Integer> numbers = new ArrayList<>();
    for (int number : shards.urgentValues()) {
      if (!transaction.hasCapacity()) {
        break;
      }
      List<Disruption> content = List.copyOf(shards.itemsByPosition(number).values());
      transaction.addUntrackedValue(
          Keys.disruptions(number),
          Disruption.encode(content),
          content.stream().mapToInt(Disruption::size).sum());
      shards.markSent(number);
      numbers.add(number);
      content.stream().filter(notDurable::contains).forEach(going::add);
    }
    sent.put(transaction, going);
    values.put(transaction, numbers);
  }

  @Override
  public void onApplied(LeaderTransaction transaction) {
    values.remove(transaction);
    for (Disruption disruption : sent.getOrDefault(transaction, List.of())) {
      if (notDurable.remove(disruption)) {
        durable.accept(disruption);
      }
    }
    sent.remove(transaction);
  }

  @Override
  public void onNotApplied(LeaderTransaction transaction) {
    sent.remove(transaction);
    values.getOrDefault(transaction, List.of()).forEach(shards::markDue);
    values.remove(transaction);
  }
}
