package io.pearscale.upgrade;

import com.fasterxml.jackson.databind.JsonNode;
import io.pearscale.protocol.Fields;
import io.pearscale.protocol.Malformed;

/** The level of stored state that is in force in a cluster, as the state service holds it. */
public record ClusterLevel(int level) {
  /** In force where nothing is stored: the form from before there were levels. */
  public static final ClusterLevel UNVERSIONED = new ClusterLevel(0);

  /** Reads the record; fields that a later release may add are passed over. */
  public static ClusterLevel parse(JsonNode value) throws Malformed {
    return new ClusterLevel((int) Fields.integer(Fields.map(value), "level", 0, Integer.MAX_VALUE));
  }
}
