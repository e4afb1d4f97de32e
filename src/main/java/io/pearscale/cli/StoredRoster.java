package io.pearscale.cli;

import io.pearscale.protocol.Malformed;
import io.pearscale.storage.Keys;
import io.pearscale.storage.Roster;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** The machines that the records name. */
final class StoredRoster {
  private StoredRoster() {}

  /** All entries of the roster. */
  static List<Roster.Entry> read(StateSession state) throws IOException, Malformed {
    List<Roster.Entry> entries = new ArrayList<>();
    for (StateSession.Stored value : state.list(Keys.ROSTERS).values()) {
      entries.addAll(Roster.decode(value.value()));
    }
    return entries;
  }
}
