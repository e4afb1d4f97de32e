package io.pearscale.upgrade;

/**
 * What a build can do only from some level of the stored state on; before, it takes the old way.
 */
public enum Feature {
  /** The roster says of a machine whether it is being emptied for maintenance. */
  MACHINE_MAINTENANCE(1, "can't say that machines are in maintenance: "),

  /** Jobs whose tasks run all together. */
  GANG_JOBS(2, "has no gang jobs: "),

  /** Jobs of any size are recorded in values of 2 KiB. */
  SMALL_VALUES(2, "can't record the tasks of these jobs in a value: ");

  private final int requiredLevel;
  private final String limitation;

  Feature(int level, String lacking) {
    this.requiredLevel = level;
    this.limitation = lacking;
  }

  /** The level that it needs. */
  public int requiredLevel() {
    return requiredLevel;
  }

  /** What a level below lacks, to be followed by names. */
  String limitation() {
    return limitation;
  }

  /** Whether it may be used under the level. */
  public boolean isEnabledAt(SchemaLevel inForce) {
    return inForce.writtenLevel() >= requiredLevel;
  }
}
