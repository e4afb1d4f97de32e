package io.pearscale.upgrade;

/**
 * The inclusive range of schema levels that a build can read and write. A level identifies the
 * format of all records; a release that changes the format of any record adds a level.
 */
public record SupportedLevels(int lowest, int highest) {
  /**
   * The levels that this build supports. Level 0 is the format from before schema levels were
   * introduced; level 1 adds the maintenance state of machines; level 2 adds gang jobs, and records
   * that fit small values.
   */
  public static final SupportedLevels OF_THIS_BUILD = new SupportedLevels(0, 2);

  /** Validates the range. */
  public SupportedLevels {
    if (lowest < 0 || highest < lowest) {
      throw new IllegalArgumentException(
          "invalid range of schema levels, expected 0 <= lowest <= highest: "
              + lowest
              + " to "
              + highest);
    }
  }

  /** Returns this range without the levels above the given one, as an earlier build has it. */
  public SupportedLevels upTo(int highestAllowed) {
    return new SupportedLevels(Math.min(lowest, highestAllowed), Math.min(highest, highestAllowed));
  }

  /** Returns whether the level lies in the range. */
  public boolean contains(int level) {
    return lowest <= level && level <= highest;
  }

  @Override
  public String toString() {
    return lowest == highest ? Integer.toString(lowest) : lowest + " to " + highest;
  }
}
