package io.pearscale.scheduler.model;

import io.pearscale.storage.Maintenance;

/**
 * The state of a machine's durable record, as far as the leader knows it. A start is sent only
 * after the machine's record is durable, and a deletion only after the record marks the machine as
 * retiring.
 *
 * <p>Owned by its {@link Machine}; written by the package that maintains the records.
 */
public final class MachineRecordState {
  private boolean recorded;
  private boolean retiring;
  private int number;
  private String address = "";
  private Maintenance maintenance = Maintenance.IN_SERVICE;

  /** Returns whether a durable record names the machine. */
  public boolean isRecorded() {
    return recorded;
  }

  /** Returns whether the durable record marks the machine as retiring. */
  public boolean isRetiring() {
    return retiring;
  }

  /**
   * Returns the number by which placement records refer to the machine in the numbered layout, or 0
   * if none is assigned.
   */
  public int number() {
    return number;
  }

  /** Returns the maintenance stage in the durable record. */
  public Maintenance maintenance() {
    return maintenance;
  }

  /** Assigns the number by which placement records refer to the machine. */
  public void assignNumber(int newNumber) {
    number = newNumber;
  }

  /** Records that a durable record names the machine. */
  public void markRecorded() {
    recorded = true;
  }

  /** Records that the durable record marks the machine as retiring. */
  public void markRetiring() {
    retiring = true;
  }

  /** Records that the machine's record has to be written again in another slot. */
  public void markUnrecorded() {
    recorded = false;
  }

  /** Records that the machine's record is being removed. */
  public void markRemoved() {
    recorded = false;
    retiring = false;
  }

  /** Records that a record with the given content is durable. */
  public void recordWritten(
      boolean recordedRetiring, String recordedAddress, Maintenance recordedMaintenance) {
    recorded = true;
    restore(recordedRetiring, recordedAddress, recordedMaintenance);
  }

  /** Restores the state from a stored record with the given content. */
  void restore(boolean recordedRetiring, String recordedAddress, Maintenance recordedMaintenance) {
    retiring = recordedRetiring;
    address = recordedAddress;
    maintenance = recordedMaintenance;
  }

  /**
   * Compares the address in the durable record with the machine's current one, which then counts as
   * recorded: a change is reported only once.
   *
   * @return whether a durable record has another address and has to be rewritten
   */
  public boolean isOutdatedBy(String presentAddress) {
    if (!recorded || address.equals(presentAddress)) {
      return false;
    }
    address = presentAddress;
    return true;
  }
}
