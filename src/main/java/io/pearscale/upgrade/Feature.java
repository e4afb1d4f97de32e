package io.pearscale.upgrade;

/**
 * What a build can do only from some level of the stored state on; before, it takes the old way.
 */
public enum Feature {
  /** The roster says of a machine whether it is being emptied for maintenance. */
  MACHINE_MAINTENANCE(1);

  private final int level;

  Feature(int level) {
    this.level = level;
  }

  /** The level that it needs. */
  public int level() {
    return level;
  }

  /** Whether it may be used under the level. */
  public boolean isOn(ClusterLevel inForce) {
    return inForce.written() >= level;
  }
}
