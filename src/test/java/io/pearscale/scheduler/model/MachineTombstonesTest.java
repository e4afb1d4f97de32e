package io.pearscale.scheduler.model;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import org.junit.jupiter.api.Test;

class MachineTombstonesTest {
  private static final Instant NOW = Instant.EPOCH.plusSeconds(5000);

  /**
   * The machines of a released fleet are still listed for as long as the machine list lags, however
   * many there are. Tombstones must expire by age, not by count.
   */
  @Test
  void keepsTombstonesOfLargeFleet() {
    MachineTombstones tombstones = new MachineTombstones();
    for (int i = 0; i < 6000; i++) {
      tombstones.add("m-" + i, NOW.plusMillis(i));
    }
    for (int i = 0; i < 6000; i++) {
      assertTrue(tombstones.contains("m-" + i));
    }
  }

  @Test
  void dropsTombstonesAfterRetention() {
    MachineTombstones tombstones = new MachineTombstones();
    tombstones.add("m-1", NOW);
    tombstones.add("m-2", NOW.plusSeconds(1));
    tombstones.add("m-3", NOW.plus(MachineTombstones.RETENTION).plusMillis(500));
    assertFalse(tombstones.contains("m-1"));
    assertTrue(tombstones.contains("m-2"));
    assertTrue(tombstones.contains("m-3"));
  }
}
