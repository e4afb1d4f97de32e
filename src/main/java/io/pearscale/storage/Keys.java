package io.pearscale.storage;

/**
 * The keys of the state service. All that a controller must hold in memory stands below {@link
 * #WATCHED_PREFIX}, one prefix and so one watch; jobs that are over stand apart and are read when
 * asked for, so that a restart stays cheap after months of finished jobs.
 */
public final class Keys {
  /** The watched prefix. */
  public static final String WATCHED_PREFIX = "c/";

  /** Who leads, attached to the leader's grant. */
  public static final String LEADER = "c/lead";

  /** The highest term so far; guards each write of a leader. */
  public static final String TERM = "c/term";

  /** The level of stored forms that is in force; guards each write of any controller. */
  public static final String LEVEL = "c/level";

  /** The last catalogue of machine types. */
  public static final String CATALOGUE = "c/catalogue";

  /** What the controllers that run say of their builds. */
  public static final String MEMBERS = "c/member/";

  /** What operators want drained, see {@link #drain}. */
  public static final String DRAINS = "c/drain/";

  /** What the leader publishes for operators' commands. */
  public static final String STATUS = "c/status";

  private static final String DRAIN_MACHINES = "c/drain-machines/";
  private static final String DRAIN_STATUS = "c/drain-status/";
  private static final String DISRUPTIONS = "c/disrupted/";

  /** All jobs that are not over. */
  public static final String LIVE_JOBS = "c/live/";

  private static final String FINISHED_JOBS = "p/";

  private Keys() {}

  /** A job that is not over. */
  public static String liveJob(String job) {
    return LIVE_JOBS + job;
  }

  /** How a job ended. */
  public static String finishedJob(String job) {
    return FINISHED_JOBS + job;
  }

  /** What a controller says of its build. */
  public static String member(String host) {
    return MEMBERS + host;
  }

  /** What operators want of a drain. */
  public static String drain(String id) {
    return DRAINS + id;
  }

  /** The values with the names of a drain's machines. */
  public static String drainMachines(String id) {
    return DRAIN_MACHINES + id + "/";
  }

  /** Whether the key holds names of a drain's machines. */
  public static boolean isDrainMachines(String key) {
    return key.startsWith(DRAIN_MACHINES);
  }

  /** What has come of a drain. */
  public static String drainStatus(String id) {
    return DRAIN_STATUS + id;
  }

  /** Whether the key says what has come of a drain. */
  public static boolean isDrainStatus(String key) {
    return key.startsWith(DRAIN_STATUS);
  }

  /** A value of disruptions that count. */
  public static String disruptions(int number) {
    return DISRUPTIONS + number;
  }

  /** Whether the key holds disruptions that count. */
  public static boolean isDisruptions(String key) {
    return key.startsWith(DISRUPTIONS);
  }

  /** Whether the key is an operator's wish for a drain. */
  public static boolean isDrain(String key) {
    return key.startsWith(DRAINS);
  }

  /** Whether the key is what a controller says of its build. */
  public static boolean isMember(String key) {
    return key.startsWith(MEMBERS);
  }

  /** Whether the key is a job that is not over. */
  public static boolean isLiveJob(String key) {
    return key.startsWith(LIVE_JOBS);
  }

  /** Whether the key holds marks, in the layout of any level. */
  public static boolean isPlacementRecords(String key) {
    return RecordLayout.ofPlacementKey(key).isPresent();
  }

  /** Whether the key is a value of the roster, in the layout of any level. */
  public static boolean isMachineRecords(String key) {
    return RecordLayout.ofMachineKey(key).isPresent();
  }

  /** Whether the key holds a record that a new leader must be able to read. */
  public static boolean isRequiredToLead(String key) {
    return isLiveJob(key) || isPlacementRecords(key) || isMachineRecords(key);
  }

  /** The job in the key of a job. */
  public static String lastSegment(String key) {
    return key.substring(key.lastIndexOf('/') + 1);
  }

  /** The number in the key of marks or roster. */
  public static int valueNumber(String key) {
    return Integer.parseInt(key.substring(key.lastIndexOf('/') + 1));
  }
}
