package io.pearscale.storage;

/**
 * The keys of the key-value store. All keys that a controller must hold in memory start with {@link
 * #WATCHED_PREFIX}, so a single watch covers them. The outcomes of finished jobs have another
 * prefix and are read on request, so that a restart stays cheap after months of finished jobs.
 */
public final class Keys {
  /** The watched prefix. */
  public static final String WATCHED_PREFIX = "c/";

  /** The current leader; the key is attached to the leader's lease of the store. */
  public static final String LEADER = "c/lead";

  /** The highest term so far; its revision is a precondition of each write of a leader. */
  public static final String TERM = "c/term";

  /** The current schema level; its revision is a precondition of each write of any controller. */
  public static final String LEVEL = "c/level";

  /** The catalogue of machine types that was last received from the cloud. */
  public static final String CATALOGUE = "c/catalogue";

  /** Prefix of the support records of running controllers, see {@link #supportRecord}. */
  public static final String SUPPORT_RECORDS = "c/member/";

  /** Prefix of operators' drain requests, see {@link #drain}. */
  public static final String DRAINS = "c/drain/";

  /** The status that the leader publishes for operators' commands. */
  public static final String STATUS = "c/status";

  private static final String DRAIN_MACHINES = "c/drain-machines/";
  private static final String DRAIN_STATUS = "c/drain-status/";
  private static final String DISRUPTIONS = "c/disrupted/";

  /** Prefix of live jobs, which have not finished. */
  public static final String LIVE_JOBS = "c/live/";

  private static final String FINISHED_JOBS = "p/";

  private Keys() {}

  /** The key of a live job. */
  public static String liveJob(String job) {
    return LIVE_JOBS + job;
  }

  /** The key of a job's outcome. */
  public static String finishedJob(String job) {
    return FINISHED_JOBS + job;
  }

  /** The key of the record in which a controller announces the schema levels that it supports. */
  public static String supportRecord(String host) {
    return SUPPORT_RECORDS + host;
  }

  /** The key of an operator's drain request. */
  public static String drain(String id) {
    return DRAINS + id;
  }

  /** Prefix of the values with the names of a drain's machines. */
  public static String drainMachines(String id) {
    return DRAIN_MACHINES + id + "/";
  }

  /** Whether the key holds names of a drain's machines. */
  public static boolean isDrainMachines(String key) {
    return key.startsWith(DRAIN_MACHINES);
  }

  /** The key of a drain's status. */
  public static String drainStatus(String id) {
    return DRAIN_STATUS + id;
  }

  /** Whether the key holds the status of a drain. */
  public static boolean isDrainStatus(String key) {
    return key.startsWith(DRAIN_STATUS);
  }

  /** The key of a value of disruptions that count against disruption budgets. */
  public static String disruptions(int number) {
    return DISRUPTIONS + number;
  }

  /** Whether the key holds disruptions that count against disruption budgets. */
  public static boolean isDisruptions(String key) {
    return key.startsWith(DISRUPTIONS);
  }

  /** Whether the key holds a drain request. */
  public static boolean isDrain(String key) {
    return key.startsWith(DRAINS);
  }

  /** Whether the key holds a controller's support record. */
  public static boolean isSupportRecord(String key) {
    return key.startsWith(SUPPORT_RECORDS);
  }

  /** Whether the key holds a live job. */
  public static boolean isLiveJob(String key) {
    return key.startsWith(LIVE_JOBS);
  }

  /** Whether the key holds placement records, in either layout. */
  public static boolean isPlacementRecords(String key) {
    return RecordLayout.ofPlacementKey(key).isPresent();
  }

  /** Whether the key holds machine records, in either layout. */
  public static boolean isMachineRecords(String key) {
    return RecordLayout.ofMachineKey(key).isPresent();
  }

  /** Whether the key holds a record that a new leader must be able to read. */
  public static boolean isRequiredToLead(String key) {
    return isLiveJob(key) || isPlacementRecords(key) || isMachineRecords(key);
  }

  /** The last segment of a key: the name of a job, a controller or a drain. */
  public static String lastSegment(String key) {
    return key.substring(key.lastIndexOf('/') + 1);
  }

  /** The number at the end of a key whose value holds several records. */
  public static int valueNumber(String key) {
    return Integer.parseInt(key.substring(key.lastIndexOf('/') + 1));
  }
}
