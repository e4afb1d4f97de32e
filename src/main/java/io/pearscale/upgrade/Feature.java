package io.pearscale.upgrade;

/** What can be used only from some schema level on; below it, a build behaves as before. */
public enum Feature {
  /** Machine records hold the machine's maintenance state. */
  MACHINE_MAINTENANCE(1, "can't say that machines are in maintenance: "),

  /** Gang jobs, whose tasks run all together. */
  GANG_JOBS(2, "has no gang jobs: "),

  /** Jobs of any size are recorded in values of 2 KiB. */
  SMALL_VALUES(2, "can't record the tasks of these jobs in a value: ");

  private final int requiredLevel;
  private final String limitation;

  Feature(int requiredLevel, String limitation) {
    this.requiredLevel = requiredLevel;
    this.limitation = limitation;
  }

  /** The lowest schema level at which it may be used. */
  public int requiredLevel() {
    return requiredLevel;
  }

  /** What a lower level lacks; to be followed by names. */
  String limitation() {
    return limitation;
  }

  /** Whether it may be used at the level. */
  public boolean isEnabledAt(SchemaLevel currentLevel) {
    return currentLevel.writtenLevel() >= requiredLevel;
  }
}
