package io.pearscale.storage;

import io.pearscale.protocol.MalformedMessageException;

/**
 * The maintenance state of a machine, which machine records hold from schema level 1 on.
 *
 * @param stage the stage of the maintenance
 * @param drain the drain that requested the maintenance; empty if there is none
 */
public record Maintenance(Stage stage, String drain) {
  /** The stages of taking a machine out of service and back into service. */
  public enum Stage {
    /** In service. */
    IN_SERVICE(""),
    /** Receives no new tasks; its present tasks are moved as disruption budgets allow. */
    CORDONED("c"),
    /** Runs no tasks and is out of service. */
    DRAINED("d"),
    /**
     * Back in service with an empty cache; receives no urgent tasks until it has proved to work.
     */
    PROBATION("p");

    private final String code;

    Stage(String code) {
      this.code = code;
    }
  }

  /** In service. */
  public static final Maintenance IN_SERVICE = new Maintenance(Stage.IN_SERVICE, "");

  private static final char SEPARATOR = ':';

  /** Whether the machine is fully in service, which excludes probation. */
  public boolean isInService() {
    return stage == Stage.IN_SERVICE;
  }

  /** Whether tasks may be placed on the machine. */
  public boolean isSchedulable() {
    return stage == Stage.IN_SERVICE || stage == Stage.PROBATION;
  }

  /** The stored form; empty if the machine is in service. */
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
