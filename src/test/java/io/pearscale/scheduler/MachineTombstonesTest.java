package io.pearscale.scheduler;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import org.junit.jupiter.api.Test;

class MachineTombstonesTest {
  private static final Instant NOW = Instant.EPOCH.plusSeconds(5000);

  /** A fleet that is given back goes on to be listed for as long as the list lags. */
  @Test
  void aWholeFleetIsRememberedWhileListsAndReportsMayNameIt() {
    MachineTombstones removed = new MachineTombstones();
    for (int i = 0; i < 6000; i++) {
      removed.note("m-" + i, NOW.plusMillis(i));
    }
    for (int i = 0; i < 6000; i++) {
      assertTrue(removed.contains("m-" + i));
    }
  }

  @Test
  void whatIsLongGoneIsForgotten() {
    MachineTombstones removed = new MachineTombstones();
    removed.note("m-1", NOW);
    removed.note("m-2", NOW.plusSeconds(1));
    removed.note("m-3", NOW.plus(MachineTombstones.KEPT).plusMillis(500));
    assertFalse(removed.contains("m-1"));
    assertTrue(removed.contains("m-2"));
    assertTrue(removed.contains("m-3"));
  }
}
