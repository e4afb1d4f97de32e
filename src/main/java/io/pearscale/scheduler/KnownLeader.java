package io.pearscale.scheduler;

import java.util.Optional;

/** The highest term that this controller knows, and who leads in it as far as known. */
final class KnownLeader {
  private long term;
  private Optional<String> host = Optional.empty();

  /** The election has found another term or leader. */
  void update(long newTerm, Optional<String> newHost) {
    term = newTerm;
    host = newHost;
  }

  /** The highest known term; 0 before any is known. */
  long term() {
    return term;
  }

  /** The leader; empty while none is known. */
  Optional<String> host() {
    return host;
  }
}
