package io.pearscale.scheduler.maintenance;

import com.fasterxml.jackson.databind.JsonNode;
import io.pearscale.drain.DrainPlanner.Drain;
import io.pearscale.drain.DrainRequest;
import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.storage.Keys;
import io.pearscale.storage.StoreReplicaActor.KeyChange;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The stored drain requests of operators: one record for each request, and separate values with the
 * names of its machines.
 */
final class DrainRequests {
  private static final Logger LOG = LoggerFactory.getLogger(DrainRequests.class);

  private final Map<String, JsonNode> requests = new TreeMap<>();
  private final Map<String, JsonNode> machineNames = new TreeMap<>();

  /** Removes all stored values before a new snapshot is delivered. */
  void clearStoredValues() {
    requests.clear();
    machineNames.clear();
  }

  /** Applies a change to a stored value. */
  void applyChange(KeyChange change) {
    Map<String, JsonNode> values = Keys.isDrain(change.key()) ? requests : machineNames;
    change
        .entry()
        .ifPresentOrElse(
            entry -> values.put(change.key(), entry.value()), () -> values.remove(change.key()));
  }

  /** Returns whether the drain is stored, even if its record can't be read. */
  boolean isKnown(String id) {
    return requests.containsKey(Keys.drain(id));
  }

  /** Returns all readable drains; an unreadable drain neither drains nor releases machines. */
  List<Drain> readable() {
    List<Drain> drains = new ArrayList<>();
    for (Map.Entry<String, JsonNode> request : requests.entrySet()) {
      String id = Keys.lastSegment(request.getKey());
      try {
        drains.add(new Drain(DrainRequest.parse(id, request.getValue()), machineNamesOf(id)));
      } catch (MalformedMessageException e) {
        LOG.warn("event=drain_unreadable drain={} reason={}", id, e.getMessage());
      }
    }
    return drains;
  }

  private List<String> machineNamesOf(String id) {
    List<String> names = new ArrayList<>();
    String prefix = Keys.drainMachines(id);
    machineNames.forEach(
        (key, value) -> {
          if (key.startsWith(prefix)) {
            value.path("m").forEach(name -> names.add(name.asText()));
          }
        });
    return names;
  }
}
