package io.pearscale.upgrade;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.pearscale.transport.MessagePack;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Tests which stored schema levels a build accepts. */
class LevelGateTest {
  private final LevelGate gate = new LevelGate(new SupportedLevels(1, 2));

  private Optional<String> incompatibilityOf(JsonNode level) {
    gate.update(Optional.of(level), 7);
    return gate.incompatibility();
  }

  private static JsonNode level(int level) {
    return MessagePack.map().put("level", level);
  }

  @Test
  void acceptsLevelsWithinSupportedRange() {
    assertEquals(Optional.empty(), incompatibilityOf(level(1)));
    assertEquals(Optional.empty(), incompatibilityOf(level(2)));
    assertEquals(
        Optional.of("the stored state is at level 3, this build supports 1 to 2"),
        incompatibilityOf(level(3)));
  }

  @Test
  void missingLevelIsLevelZero() {
    assertTrue(gate.incompatibility().isPresent(), "this build no longer supports level 0");
    assertEquals(Optional.empty(), new LevelGate(SupportedLevels.OF_THIS_BUILD).incompatibility());
    assertEquals(OptionalLong.empty(), gate.writeRevision());
    assertEquals(OptionalLong.of(0), new LevelGate(SupportedLevels.OF_THIS_BUILD).writeRevision());
  }

  @Test
  void deletedLevelIsLevelZero() {
    incompatibilityOf(level(1));
    assertEquals(OptionalLong.of(7), gate.writeRevision());
    gate.update(Optional.empty(), 9);
    assertTrue(gate.incompatibility().isPresent());
  }

  @Test
  void unsupportedLevelHasNoWriteRevision() {
    incompatibilityOf(level(1));
    incompatibilityOf(level(3));
    assertEquals(OptionalLong.empty(), gate.writeRevision());
    incompatibilityOf(level(2));
    assertEquals(OptionalLong.of(7), gate.writeRevision());
  }

  @Test
  void unreadableLevelIsIncompatible() {
    LevelGate oldBuildGate = new LevelGate(SupportedLevels.OF_THIS_BUILD);
    List<JsonNode> unreadable =
        List.of(
            MessagePack.map(),
            MessagePack.map().put("level", -1),
            MessagePack.map().put("level", "0"),
            MessagePack.map().put("level", 0.5),
            MessagePack.map().putArray("level"));
    for (JsonNode value : unreadable) {
      oldBuildGate.update(Optional.of(value), 3);
      assertTrue(oldBuildGate.incompatibility().isPresent(), "" + value);
    }
  }

  @Test
  void unknownFieldsAreIgnored() {
    assertEquals(
        Optional.empty(), incompatibilityOf(MessagePack.map().put("level", 2).put("later", "x")));
  }

  @Test
  void invalidRangeIsRejected() {
    assertThrows(IllegalArgumentException.class, () -> new SupportedLevels(2, 1));
    assertThrows(IllegalArgumentException.class, () -> new SupportedLevels(-1, 1));
  }
}
