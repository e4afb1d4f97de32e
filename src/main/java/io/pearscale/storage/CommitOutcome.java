package io.pearscale.storage;

import io.pearscale.transport.HttpClient.Reply;
import java.util.List;

/** The outcome of a compare-and-swap request, determined from its reply or a missing reply. */
public sealed interface CommitOutcome {
  /**
   * The store applied all mutations.
   *
   * @param revision the store's revision after the commit, which is the mod revision of every
   *     written key
   */
  record Applied(long revision) implements CommitOutcome {}

  /**
   * The store changed nothing because at least one precondition did not hold.
   *
   * @param keys the keys whose revision differed from the expected one
   */
  record PreconditionFailed(List<String> keys) implements CommitOutcome {}

  /**
   * The store, or the client's own rate limit, refused the request.
   *
   * @param status HTTP status of the refusal
   */
  record Refused(int status) implements CommitOutcome {
    /**
     * Whether the store would refuse the same request again, for example because a value is too
     * long.
     */
    public boolean isInvalid() {
      return status == BAD_REQUEST;
    }
  }

  /** No reply arrived: the store may have applied the mutations or may still apply them. */
  record Unknown() implements CommitOutcome {}

  /** HTTP status of a request that is malformed or exceeds the store's limits. */
  int BAD_REQUEST = 400;

  /** HTTP status of a compare-and-swap whose preconditions did not hold. */
  int CONFLICT = 409;

  /** Status of a {@link Reply} that represents a missing reply. */
  int NO_REPLY = 0;

  /**
   * Classifies a reply.
   *
   * @param fallbackRevision the revision to assume if the reply contains none
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
