package io.pearscale.sim;

import com.fasterxml.jackson.databind.JsonNode;
import io.pearscale.scheduler.model.Leadership;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Late copies of heartbeats that arrive after a new leader has acted. A copy is taken of the next
 * heartbeat of each machine of a zone; all copies are delivered some time after an agent has
 * received a response with a token of a higher term.
 */
final class LateHeartbeats {
  /** Delivers a late copy of a heartbeat. */
  interface Delivery {
    /** Delivers the copy after the given time. */
    void deliver(String machine, JsonNode heartbeat, Duration delay);
  }

  private final Delivery delivery;
  private final Map<String, JsonNode> copies = new LinkedHashMap<>();
  private Optional<String> copiedZone = Optional.empty();
  private Duration delay = Duration.ZERO;
  private long highestTerm;

  LateHeartbeats(Delivery delivery) {
    this.delivery = delivery;
  }

  /**
   * Takes a copy of the next heartbeat of each machine of the zone.
   *
   * @param delayAfterNewLeader when to deliver the copies after a new leader's first response
   */
  void copyHeartbeatsOf(String zone, Duration delayAfterNewLeader) {
    copiedZone = Optional.of(zone);
    delay = delayAfterNewLeader;
    copies.clear();
  }

  /** Observes a heartbeat that is being sent. */
  void heartbeatSent(String machine, JsonNode heartbeat) {
    if (copiedZone.isPresent() && copiedZone.get().equals(heartbeat.path("yard").asText())) {
      copies.putIfAbsent(machine, heartbeat);
    }
  }

  /** Observes a response with status 200 that an agent receives. */
  void responseReceived(long fencingToken) {
    long term = Leadership.termOf(fencingToken);
    if (term <= highestTerm) {
      return;
    }
    boolean newLeader = highestTerm > 0;
    highestTerm = term;
    if (newLeader) {
      copiedZone = Optional.empty();
      List.copyOf(copies.entrySet())
          .forEach(copy -> delivery.deliver(copy.getKey(), copy.getValue(), delay));
      copies.clear();
    }
  }
}
