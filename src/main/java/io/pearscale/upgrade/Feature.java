package io.pearscale.upgrade;

/** A feature that requires a minimum schema level; below it, builds do not use the feature. */
public enum Feature {
  /** Machine records contain the maintenance state of the machine. */
  MACHINE_MAINTENANCE(1, "can't say that machines are in maintenance: "),

  /** Gang jobs, whose tasks all run at the same time. */
  GANG_JOBS(2, "has no gang jobs: "),

  /** Jobs of any size can be stored in values of at most 2 KiB. */
  SMALL_VALUES(2, "can't record the tasks of these jobs in a value: ");

  private final int requiredLevel;
  private final String limitation;

  Feature(int requiredLevel, String limitation) {
    this.requiredLevel = requiredLevel;
    this.limitation = limitation;
  }

  /** Returns the lowest schema level at which the feature may be used. */
  public int requiredLevel() {
    return requiredLevel;
  }

  /** Returns what a lower level can't express, as a text to be followed by record names. */
  String limitation() {
    return limitation;
  }

  /** Returns whether the feature may be used at the given schema level. */
  public boolean isEnabledAt(SchemaLevel currentLevel) {
    return currentLevel.writtenLevel() >= requiredLevel;
  }
}
