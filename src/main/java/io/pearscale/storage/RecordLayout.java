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
  BY_PLACE("c/marks/", "c/roster/", 1024, 2),

  /**
   * From level 2 on. Each machine has a number of its own, by which marks name it, so machines can
   * be recorded anywhere; parts of jobs are small enough for values of 2 KiB.
   */
  BY_NUMBER("c/placements/", "c/machines/", 256, 3);

  private static final int FIRST_LEVEL_BY_NUMBER = 2;

  private final String marksPrefix;
  private final String rosterPrefix;
  private final int partTasks;
  private final int numberBytes;

  RecordLayout(String marksPrefix, String rosterPrefix, int partTasks, int numberBytes) {
    this.marksPrefix = marksPrefix;
    this.rosterPrefix = rosterPrefix;
    this.partTasks = partTasks;
    this.numberBytes = numberBytes;
  }

  /** The layout that is written at a level. */
  public static RecordLayout ofLevel(int level) {
    return level < FIRST_LEVEL_BY_NUMBER ? BY_PLACE : BY_NUMBER;
  }

  /** The layout whose marks the key holds; empty for another key. */
  public static Optional<RecordLayout> ofMarks(String key) {
    return Arrays.stream(values()).filter(l -> key.startsWith(l.marksPrefix)).findFirst();
  }

  /** The layout whose roster the key belongs to; empty for another key. */
  public static Optional<RecordLayout> ofRoster(String key) {
    return Arrays.stream(values()).filter(l -> key.startsWith(l.rosterPrefix)).findFirst();
  }

  /** Whether the key belongs to this layout. */
  public boolean has(String key) {
    return key.startsWith(marksPrefix) || key.startsWith(rosterPrefix);
  }

  /** What the keys of all marks begin with. */
  public String marksPrefix() {
    return marksPrefix;
  }

  /** What the keys of the whole roster begin with. */
  public String rosterPrefix() {
    return rosterPrefix;
  }

  /** The key of a value of marks. */
  public String marksKey(int number) {
    return marksPrefix + number;
  }

  /** The key of a value of the roster. */
  public String rosterKey(int number) {
    return rosterPrefix + number;
  }

  /** The most tasks of one part of a job. */
  public int partTasks() {
    return partTasks;
  }

  /** How many bytes the number of a machine takes in marks. */
  int numberBytes() {
    return numberBytes;
  }

  /** The other layout. */
  public RecordLayout other() {
    return this == BY_PLACE ? BY_NUMBER : BY_PLACE;
  }
}
