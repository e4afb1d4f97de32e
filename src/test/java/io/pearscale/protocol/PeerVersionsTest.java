package io.pearscale.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests the greetings of controllers and which version ranges are compatible. */
class PeerVersionsTest {
  @Test
  void formattedGreetingsParseToTheSameVersions() {
    for (PeerVersions versions : List.of(new PeerVersions(3, 3), new PeerVersions(3, 12))) {
      assertEquals(Optional.of(versions), PeerVersions.parse(versions.greeting()));
    }
    assertEquals("pearscale/3", new PeerVersions(3, 3).greeting());
  }

  @Test
  void overlappingRangesAreAccepted() {
    PeerVersions versions = new PeerVersions(3, 3);
    assertTrue(versions.accepts("pearscale/3"));
    assertTrue(versions.accepts("pearscale/2-4"));
    assertTrue(versions.accepts("pearscale/3-9"));
    assertFalse(versions.accepts("pearscale/4-9"));
    assertFalse(versions.accepts("pearscale/1-2"));
  }

  @Test
  void malformedGreetingsAreRejected() {
    for (String text :
        List.of(
            "",
            "pearscale/",
            "pearscale/x",
            "pearscale/4-3",
            "pearscale/3-",
            "other/3",
            "pearscale/3 ",
            "pearscale/-3",
            "pearscale/99999999999")) {
      assertEquals(Optional.empty(), PeerVersions.parse(text), text);
    }
  }
}
