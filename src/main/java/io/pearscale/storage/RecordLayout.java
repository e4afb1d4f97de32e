package io.pearscale.storage;

import java.util.Arrays;
import java.util.Optional;

/**
 * How the records of machines and tasks are laid out over keys. Each layout has keys of its own:
 * records of the other one are never rewritten but copied, value by value, and deleted once nothing
 * depends on them. That works for values of any size, while only short ones can be written.
 */
public enum RecordLayout {
  /**
   * Below schema level 2. Placement records refer to a machine by its slot in the machine records,
   * so a machine keeps its slot. Partitions of jobs have up to 1,024 tasks.
   */
  POSITIONAL("c/marks/", "c/roster/", 1024, 2),

  /**
   * From schema level 2 on. Placement records refer to a machine by a number of its own, so its
   * record can stand in any slot. Partitions of jobs are small enough for values of 2 KiB.
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

  /** The layout that is written at a schema level. */
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

  /** The most tasks of one partition of a job. */
  public int tasksPerPartition() {
    return tasksPerPartition;
  }

  /** Bytes of a reference to a machine in placement records. */
  int machineReferenceBytes() {
    return machineReferenceBytes;
  }

  /** The other layout. */
  public RecordLayout other() {
    return this == POSITIONAL ? NUMBERED : POSITIONAL;
  }
}
