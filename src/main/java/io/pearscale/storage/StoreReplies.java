package io.pearscale.storage;

import com.fasterxml.jackson.databind.JsonNode;
import io.pearscale.transport.HttpClient.Reply;
import java.util.OptionalLong;

/** Extracts results from the statuses and bodies of key-value store replies. */
public final class StoreReplies {
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;

  private StoreReplies() {}

  /** The ID of the lease that the store granted; empty if it granted none. */
  public static OptionalLong grantedLease(Reply reply) {
    return reply.ok() && reply.body().path("claim").isIntegralNumber()
        ? OptionalLong.of(leaseOf(reply))
        : OptionalLong.empty();
  }

  /**
   * The ID of the granted lease, or of the lease that the read key is attached to; 0 if there is
   * none.
   */
  public static long leaseOf(Reply reply) {
    return reply.body().path("claim").asLong();
  }

  /** The value of the read key. */
  public static JsonNode valueOf(Reply reply) {
    return reply.body().path("value");
  }

  /** The store's revision after an applied transaction. */
  public static long committedRevision(Reply reply) {
    return reply.body().path("epoch").asLong();
  }

  /** The mod revision of the read key; empty if the read failed or the key does not exist. */
  public static OptionalLong keyRevision(Reply reply) {
    return reply.ok() ? OptionalLong.of(reply.body().path("stamp").asLong()) : OptionalLong.empty();
  }

  /** Whether the requested key or lease does not exist. */
  public static boolean isNotFound(Reply reply) {
    return reply.status() == NOT_FOUND;
  }

  /** Whether a precondition of the transaction did not hold, so that nothing was changed. */
  public static boolean isConflict(Reply reply) {
    return reply.status() == CONFLICT;
  }
}
