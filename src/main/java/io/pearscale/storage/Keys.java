package io.pearscale.storage;

/**
 * The keys of the state service. All that a controller must hold in memory stands below {@link
 * #CURRENT}, one prefix and so one watch; jobs that are over stand apart and are read when asked
 * for, so that a restart stays cheap after months of finished jobs.
 */
public final class Keys {
  /** The watched prefix. */
  public static final String CURRENT = "c/";

  /** Who leads, attached to the leader's grant. */
  public static final String LEADER = "c/lead";

  /** The highest term so far; guards each write of a leader. */
  public static final String TERM = "c/term";

  /** The last catalogue of machine types. */
  public static final String CATALOGUE = "c/catalogue";

  private static final String LIVE = "c/live/";
  private static final String PROGRESS = "c/run/";
  private static final String HOST = "c/host/";
  private static final String PAST = "p/";

  private Keys() {}

  /** A job that is not over. */
  public static String live(String job) {
    return LIVE + job;
  }

  /** How a job ended. */
  public static String past(String job) {
    return PAST + job;
  }

  /** Opened and finished tasks of a job, in chunks. */
  public static String progress(String job, int chunk) {
    return PROGRESS + job + "/" + chunk;
  }

  /** The roster's entry of a machine. */
  public static String host(String machine) {
    return HOST + machine;
  }

  /** Whether the key is a job that is not over. */
  public static boolean isLive(String key) {
    return key.startsWith(LIVE);
  }

  /** Whether the key is progress of a job. */
  public static boolean isProgress(String key) {
    return key.startsWith(PROGRESS);
  }

  /** Whether the key is an entry of the roster. */
  public static boolean isHost(String key) {
    return key.startsWith(HOST);
  }

  /** The machine or job in the key. */
  public static String name(String key) {
    String rest = key.substring(key.indexOf('/', 2) + 1);
    int slash = rest.indexOf('/');
    return slash < 0 ? rest : rest.substring(0, slash);
  }

  /** The chunk in a progress key. */
  public static int chunk(String key) {
    return Integer.parseInt(key.substring(key.lastIndexOf('/') + 1));
  }
}
