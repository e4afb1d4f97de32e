package io.pearscale.scheduler.maintenance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.pearscale.drain.Disruption;
import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.protocol.TaskId;
import io.pearscale.scheduler.records.LeaderTransaction;
import io.pearscale.storage.KeyValueStoreClient.Mutation;
import io.pearscale.storage.StoreReplicaActor.Entry;
import io.pearscale.storage.StoreReplicaActor.KeyChange;
import io.pearscale.transport.MessagePack;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests that disruptions are reported only once durable, and are read by the next leader. */
class DisruptionRecordsTest {
  private final List<Disruption> durable = new ArrayList<>();
  private final DisruptionRecords records = new DisruptionRecords(8192, () -> {}, durable::add);

  private static Disruption disruption(int task) {
    return new Disruption(new TaskId("wk-1", task), "t", "c", true, Duration.ofSeconds(3));
  }

  private LeaderTransaction transaction() {
    LeaderTransaction transaction = new LeaderTransaction(10, 1, 1, 1, 1);
    records.contribute(transaction);
    return transaction;
  }

  private static JsonNode valueIn(LeaderTransaction transaction) {
    Mutation last = transaction.mutations().get(transaction.mutations().size() - 1);
    assertEquals("c/disrupted/0", last.key());
    return last.value().orElseThrow();
  }

  @Test
  void disruptionIsReportedDurableOnceItsTransactionIsApplied() {
    records.record(disruption(1));
    assertTrue(records.isPending(disruption(1).task()));
    LeaderTransaction transaction = transaction();
    assertEquals(List.of(), durable);
    records.onApplied(transaction);
    assertEquals(List.of(disruption(1)), durable);
    assertFalse(records.isPending(disruption(1).task()));
    records.onApplied(transaction);
    assertEquals(1, durable.size(), "reported durable only once");
  }

  @Test
  void disruptionIsWrittenAgainIfItsTransactionWasNotApplied() {
    records.record(disruption(1));
    records.onNotApplied(transaction());
    assertEquals(List.of(), durable);
    records.record(disruption(2));
    LeaderTransaction second = transaction();
    assertEquals(2, valueIn(second).path("d").size());
    records.onApplied(second);
    assertEquals(List.of(disruption(1), disruption(2)), durable);
  }

  @Test
  void removedDisruptionIsNotReportedDurable() {
    records.record(disruption(1));
    LeaderTransaction transaction = transaction();
    records.remove(disruption(1));
    records.onApplied(transaction);
    assertEquals(List.of(), durable);
    assertEquals(0, valueIn(transaction()).path("d").size());
  }

  @Test
  void successorReadsRecordedDisruptions() throws MalformedMessageException {
    records.record(disruption(1));
    JsonNode value = valueIn(transaction());
    DisruptionRecords successor = new DisruptionRecords(8192, () -> {}, durable::add);
    successor.applyChange(new KeyChange("c/disrupted/0", Optional.of(new Entry(value, 7))));
    assertEquals(List.of(disruption(1)), successor.beginTerm());
    assertEquals(Duration.ofSeconds(3), successor.beginTerm().get(0).lostWork());
    JsonNode malformed = MessagePack.map().put("d", "?");
    successor.applyChange(new KeyChange("c/disrupted/0", Optional.of(new Entry(malformed, 8))));
    assertThrows(MalformedMessageException.class, successor::beginTerm);
  }
}
