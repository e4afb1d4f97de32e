package io.pearscale.storage;

import io.pearscale.protocol.MalformedMessageException;

/**
 * The maintenance state of a machine, which machine records hold from schema level 1 on.
 *
 * @param stage how far it is on its way out of service and back
 * @param drain the drain that asked for it; empty when there is none
 */
public record Maintenance(Stage stage, String drain) {
  /** How far a machine is on its way out of service and back. */
  public enum Stage {
    /** In service. */
    IN_SERVICE(""),
    /** Gets no new tasks, while those on it are moved as disruption budgets allow. */
    CORDONED("c"),
    /** Empty and out of service. */
    DRAINED("d"),
    /** Back in service with an empty cache: no urgent work until it has proven to work. */
    PROBATION("p");

    private final String code;

    Stage(String code) {
      this.code = code;
    }
  }

  /** In service. */
  public static final Maintenance IN_SERVICE = new Maintenance(Stage.IN_SERVICE, "");

  private static final char SEPARATOR = ':';

  /** Whether the machine is in service, and not in probation either. */
  public boolean isInService() {
    return stage == Stage.IN_SERVICE;
  }

  /** Whether tasks may be placed on the machine. */
  public boolean isSchedulable() {
    return stage == Stage.IN_SERVICE || stage == Stage.PROBATION;
  }

  /** The stored form; empty in service. */
  String encode() {
    return isInService() ? "" : stage.code + SEPARATOR + drain;
  }

  /** Decodes the stored form. */
  static Maintenance parse(String text) throws MalformedMessageException {
    if (text.isEmpty()) {
      return IN_SERVICE;
    }
    int separator = text.indexOf(SEPARATOR);
    for (Stage stage : Stage.values()) {
      if (stage != Stage.IN_SERVICE && separator > 0 && text.startsWith(stage.code + SEPARATOR)) {
        return new Maintenance(stage, text.substring(separator + 1));
      }
    }
    throw new MalformedMessageException("maintenance " + text);
  }
}
