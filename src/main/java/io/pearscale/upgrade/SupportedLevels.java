package io.pearscale.upgrade;

/**
 * The schema levels that a build can read and write, both ends inclusive. A level stands for the
 * form of all records together; a release that changes the form of any record adds one.
 */
public record SupportedLevels(int lowest, int highest) {
  /**
   * What this build supports. Level 0 is the form from before there were levels; level 1 adds each
   * machine's maintenance state; level 2 adds gang jobs, and records that fit small values.
   */
  public static final SupportedLevels OF_THIS_BUILD = new SupportedLevels(0, 2);

  /** Checks the range. */
  public SupportedLevels {
    if (lowest < 0 || highest < lowest) {
      throw new IllegalArgumentException("levels " + lowest + " to " + highest);
    }
  }

  /** The same without the levels above that one, as an earlier build supported. */
  public SupportedLevels upTo(int highestAllowed) {
    return new SupportedLevels(Math.min(lowest, highestAllowed), Math.min(highest, highestAllowed));
  }

  /** Whether the level lies in the range. */
  public boolean contains(int level) {
    return lowest <= level && level <= highest;
  }

  @Override
  public String toString() {
    return lowest == highest ? Integer.toString(lowest) : lowest + " to " + highest;
  }
}
