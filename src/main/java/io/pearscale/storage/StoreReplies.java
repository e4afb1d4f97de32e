package io.pearscale.storage;

import com.fasterxml.jackson.databind.JsonNode;
import io.pearscale.transport.HttpClient.Reply;
import java.util.OptionalLong;

/** What replies of the key-value store say, read from their statuses and bodies. */
public final class StoreReplies {
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;

  private StoreReplies() {}

  /** The lease that a request for one was granted; empty if none was. */
  public static OptionalLong grantedLease(Reply reply) {
    return reply.ok() && reply.body().path("claim").isIntegralNumber()
        ? OptionalLong.of(leaseOf(reply))
        : OptionalLong.empty();
  }

  /**
   * The lease that was granted, or that the key that was read is attached to; 0 if there is none.
   */
  public static long leaseOf(Reply reply) {
    return reply.body().path("claim").asLong();
  }

  /** The value of the key that was read. */
  public static JsonNode valueOf(Reply reply) {
    return reply.body().path("value");
  }

  /** The store's revision after a transaction that was carried out. */
  public static long committedRevision(Reply reply) {
    return reply.body().path("epoch").asLong();
  }

  /** The revision of the key that was read; empty if it was not read, or does not exist. */
  public static OptionalLong keyRevision(Reply reply) {
    return reply.ok() ? OptionalLong.of(reply.body().path("stamp").asLong()) : OptionalLong.empty();
  }

  /** Whether the key or the lease does not exist. */
  public static boolean isNotFound(Reply reply) {
    return reply.status() == NOT_FOUND;
  }

  /** Whether a precondition of the transaction did not hold, so that nothing was changed. */
  public static boolean isConflict(Reply reply) {
    return reply.status() == CONFLICT;
  }
}
