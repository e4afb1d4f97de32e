package io.pearscale.scheduler.model;

import io.pearscale.storage.Maintenance;

/**
 * What is durably stored of a machine, as far as the leader knows: a start is sent only once the
 * machine's record is durable, and a deletion only once the record says that it is retiring.
 *
 * <p>Owned by its {@link Machine}; written by the package that keeps the records.
 */
public final class MachineRecordState {
  private boolean recorded;
  private boolean retiring;
  private int number;
  private String address = "";
  private Maintenance maintenance = Maintenance.IN_SERVICE;

  /** Whether a durable record names the machine. */
  public boolean isRecorded() {
    return recorded;
  }

  /** Whether the durable record says that the machine is retiring. */
  public boolean isRetiring() {
    return retiring;
  }

  /**
   * The number by which placement records name the machine in the layout by number; 0 until one is
   * assigned.
   */
  public int number() {
    return number;
  }

  /** The maintenance stage that the durable record has. */
  public Maintenance maintenance() {
    return maintenance;
  }

  /** Placement records name the machine by this number from now on. */
  public void assignNumber(int newNumber) {
    number = newNumber;
  }

  /** A durable record names the machine. */
  public void markRecorded() {
    recorded = true;
  }

  /** The durable record says that the machine is retiring. */
  public void markRetiring() {
    retiring = true;
  }

  /** The machine has to be recorded anew, in another place. */
  public void markUnrecorded() {
    recorded = false;
  }

  /** The record is being removed. */
  public void markRemoved() {
    recorded = false;
    retiring = false;
  }

  /** A record with this content has become durable. */
  public void recordWritten(
      boolean recordedRetiring, String recordedAddress, Maintenance recordedMaintenance) {
    recorded = true;
    restore(recordedRetiring, recordedAddress, recordedMaintenance);
  }

  /** A stored record with this content was read. */
  void restore(boolean recordedRetiring, String recordedAddress, Maintenance recordedMaintenance) {
    retiring = recordedRetiring;
    address = recordedAddress;
    maintenance = recordedMaintenance;
  }

  /**
   * Notes the machine's present address.
   *
   * @return whether a durable record has another one and has to be written again
   */
  public boolean isOutdatedBy(String presentAddress) {
    if (!recorded || address.equals(presentAddress)) {
      return false;
    }
    address = presentAddress;
    return true;
  }
}
