package io.pearscale.protocol;

import io.pearscale.transport.MessagePack;
import java.util.List;

/**
 * What the leader has to say to a report.
 *
 * @param status 200 renews the worker's lease; anything else doesn't
 */
public record ReportAnswer(int status, long token, List<Order> orders) {
  /** Nobody here may act for the controllers now. */
  public static final ReportAnswer UNAVAILABLE = new ReportAnswer(503, 0, List.of());

  /** The body for the worker. */
  public com.fasterxml.jackson.databind.node.ObjectNode toNode() {
    var n = MessagePack.map();
    if (status == 200) {
      n.put("baton", token);
      var list = n.putArray("orders");
      orders.forEach(o -> list.add(o.toNode()));
    }
    return n;
  }
}
