package io.pearscale.storage;

import java.util.Arrays;
import java.util.Optional;

/**
 * How the records of machines and tasks are laid out over keys. A layout has keys of its own, so
 * that what stands in the other one is never rewritten: it is copied, value by value, and removed
 * once nothing depends on it. Values of any size can be removed, but only small ones be written.
 */
public enum RecordLayout {
  /**
   * Below level 2. Marks name a machine by its place in the roster, so a machine stays where it is;
   * parts of jobs have up to 1,024 tasks.
   */
  POSITIONAL("c/marks/", "c/roster/", 1024, 2),

  /**
   * From level 2 on. Each machine has a number of its own, by which marks name it, so machines can
   * be recorded anywhere; parts of jobs are small enough for values of 2 KiB.
   */
  NUMBERED("c/placements/", "c/machines/", 256, 3);

  private static final int FIRST_NUMBERED_LEVEL = 2;

  private final String placementPrefix;
  private final String machinePrefix;
  private final int tasksPerPartition;
  private final int machineReferenceBytes;

  RecordLayout(String marksPrefix, String rosterPrefix, int partTasks, int numberBytes) {
    this.placementPrefix = marksPrefix;
    this.machinePrefix = rosterPrefix;
    this.tasksPerPartition = partTasks;
    this.machineReferenceBytes = numberBytes;
  }

  /** The layout that is written at a level. */
  public static RecordLayout ofLevel(int level) {
    return level < FIRST_NUMBERED_LEVEL ? POSITIONAL : NUMBERED;
  }

  /** The layout whose marks the key holds; empty for another key. */
  public static Optional<RecordLayout> ofPlacementKey(String key) {
    return Arrays.stream(values()).filter(l -> key.startsWith(l.placementPrefix)).findFirst();
  }

  /** The layout whose roster the key belongs to; empty for another key. */
  public static Optional<RecordLayout> ofMachineKey(String key) {
    return Arrays.stream(values()).filter(l -> key.startsWith(l.machinePrefix)).findFirst();
  }

  /** Whether the key belongs to this layout. */
  public boolean containsKey(String key) {
    return key.startsWith(placementPrefix) || key.startsWith(machinePrefix);
  }

  /** What the keys of all marks begin with. */
  public String placementPrefix() {
    return placementPrefix;
  }

  /** What the keys of the whole roster begin with. */
  public String machinePrefix() {
    return machinePrefix;
  }

  /** The key of a value of marks. */
  public String placementKey(int number) {
    return placementPrefix + number;
  }

  /** The key of a value of the roster. */
  public String machineKey(int number) {
    return machinePrefix + number;
  }

  /** The most tasks of one part of a job. */
  public int tasksPerPartition() {
    return tasksPerPartition;
  }

  /** How many bytes the number of a machine takes in marks. */
  int machineReferenceBytes() {
    return machineReferenceBytes;
  }

  /** The other layout. */
  public RecordLayout other() {
    return this == POSITIONAL ? NUMBERED : POSITIONAL;
  }
}
