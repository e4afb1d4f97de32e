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
 * The drains that operators want, as they are stored: a record for each, and beside it values with
 * the names of its machines.
 */
final class DrainRequests {
  private static final Logger LOG = LoggerFactory.getLogger(DrainRequests.class);

  private final Map<String, JsonNode> requests = new TreeMap<>();
  private final Map<String, JsonNode> machineNames = new TreeMap<>();

  /** All keys are about to be read anew. */
  void forgetStored() {
    requests.clear();
    machineNames.clear();
  }

  /** A stored value has changed. */
  void storedChanged(KeyChange change) {
    Map<String, JsonNode> values = Keys.isDrain(change.key()) ? requests : machineNames;
    change
        .entry()
        .ifPresentOrElse(
            entry -> values.put(change.key(), entry.value()), () -> values.remove(change.key()));
  }

  /** Whether the drain is stored, even if it can't be read. */
  boolean isKnown(String id) {
    return requests.containsKey(Keys.drain(id));
  }

  /** All drains that can be read; one that can't be read does nothing and releases nothing. */
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
