package io.pearscale.storage;

import io.pearscale.transport.HttpClient.Reply;
import java.util.List;

/** What is known of a compare-and-swap after its reply, or after none came in time. */
public sealed interface CommitOutcome {
  /**
   * All mutations were made.
   *
   * @param revision the store's revision after it, which is the mod revision of every key written
   */
  record Applied(long revision) implements CommitOutcome {}

  /**
   * Nothing was changed, because preconditions did not hold.
   *
   * @param keys the keys whose revision was another one
   */
  record PreconditionFailed(List<String> keys) implements CommitOutcome {}

  /**
   * The store, or the client's own rate limit, refused the request.
   *
   * @param status HTTP status of the refusal
   */
  record Refused(int status) implements CommitOutcome {
    /** Whether the same request would be refused again, for instance because of a long value. */
    public boolean isInvalid() {
      return status == BAD_REQUEST;
    }
  }

  /** No reply came: the mutations may have been made, or may still be made later. */
  record Unknown() implements CommitOutcome {}

  /** HTTP status of a request that is malformed or over the store's limits. */
  int BAD_REQUEST = 400;

  /** HTTP status of a compare-and-swap whose preconditions did not hold. */
  int CONFLICT = 409;

  /** Status of a reply that did not come. */
  int NO_REPLY = 0;

  /**
   * Classifies a reply.
   *
   * @param fallbackRevision the revision to assume if the reply names none
   */
  static CommitOutcome of(Reply reply, long fallbackRevision) {
    if (reply.ok()) {
      return new Applied(reply.body().path("epoch").asLong(fallbackRevision));
    }
    return switch (reply.status()) {
      case NO_REPLY -> new Unknown();
      case CONFLICT -> new PreconditionFailed(KeyValueStoreClient.failedPreconditions(reply));
      default -> new Refused(reply.status());
    };
  }
}
