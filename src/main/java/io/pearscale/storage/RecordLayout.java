package io.pearscale.storage;

import java.util.Arrays;
import java.util.Optional;

/**
 * The layout of machine records and placement records across keys. Each layout has separate keys.
 * When the layout changes, values of the previous layout are never rewritten: their records are
 * copied one value at a time, and a value is deleted once nothing depends on it. This also works
 * for stored values that exceed the current maximum size, above which no value can be written.
 */
public enum RecordLayout {
  /**
   * Below schema level 2. Placement records refer to a machine by its slot in the machine records,
   * so a machine keeps its slot. A job partition has up to 1,024 tasks.
   */
  POSITIONAL("c/marks/", "c/roster/", 1024, 2),

  /**
   * From schema level 2 on. Placement records refer to a machine by its unique record number, so
   * its record can be in any slot. Job partitions are small enough for values of 2 KiB.
   */
  NUMBERED("c/placements/", "c/machines/", 256, 3);

  private static final int FIRST_NUMBERED_LEVEL = 2;

  private final String placementPrefix;
  private final String machinePrefix;
  private final int tasksPerPartition;
  private final int machineReferenceBytes;

  RecordLayout(
      String placementPrefix,
      String machinePrefix,
      int tasksPerPartition,
      int machineReferenceBytes) {
    this.placementPrefix = placementPrefix;
    this.machinePrefix = machinePrefix;
    this.tasksPerPartition = tasksPerPartition;
    this.machineReferenceBytes = machineReferenceBytes;
  }

  /** The layout that controllers write at the given schema level. */
  public static RecordLayout ofLevel(int level) {
    return level < FIRST_NUMBERED_LEVEL ? POSITIONAL : NUMBERED;
  }

  /** The layout whose placement records the key holds; empty for another key. */
  public static Optional<RecordLayout> ofPlacementKey(String key) {
    return Arrays.stream(values()).filter(l -> key.startsWith(l.placementPrefix)).findFirst();
  }

  /** The layout whose machine records the key holds; empty for another key. */
  public static Optional<RecordLayout> ofMachineKey(String key) {
    return Arrays.stream(values()).filter(l -> key.startsWith(l.machinePrefix)).findFirst();
  }

  /** Whether the key belongs to this layout. */
  public boolean containsKey(String key) {
    return key.startsWith(placementPrefix) || key.startsWith(machinePrefix);
  }

  /** Prefix of the keys of placement records. */
  public String placementPrefix() {
    return placementPrefix;
  }

  /** Prefix of the keys of machine records. */
  public String machinePrefix() {
    return machinePrefix;
  }

  /** The key of a value of placement records. */
  public String placementKey(int number) {
    return placementPrefix + number;
  }

  /** The key of a value of machine records. */
  public String machineKey(int number) {
    return machinePrefix + number;
  }

  /** The maximum number of tasks in one partition of a job. */
  public int tasksPerPartition() {
    return tasksPerPartition;
  }

  /** The size in bytes of a reference to a machine in placement records. */
  int machineReferenceBytes() {
    return machineReferenceBytes;
  }

  /** The other layout. */
  public RecordLayout other() {
    return this == POSITIONAL ? NUMBERED : POSITIONAL;
  }
}
