package io.pearscale.scheduler.model;

import io.pearscale.protocol.MachineType;
import io.pearscale.scheduler.model.Machine.Lifecycle;
import io.pearscale.storage.MachineRecordCodec.MachineRecord;
import java.time.Instant;

/** Converts between machines and their stored records. */
public final class MachineRecordMapper {
  private MachineRecordMapper() {}

  /**
   * Returns the record to store for the machine.
   *
   * @param number the machine's number or position by which placement records refer to it,
   *     depending on the layout; 0 if only the size of the record matters
   */
  public static MachineRecord toRecord(Machine machine, int number) {
    return new MachineRecord(
        number,
        machine.name(),
        machine.address(),
        machine.type().name(),
        machine.zone(),
        machine.spot(),
        machine.lease().incarnation(),
        machine.lifecycle() == Lifecycle.RETIRING,
        machine.maintenance());
  }

  /**
   * Restores a machine from the record of a previous leader. A record with an address means that
   * the agent has sent a message.
   */
  public static Machine fromRecord(MachineRecord record, MachineType type, Instant now) {
    boolean observed = !record.address().isEmpty();
    Lifecycle lifecycle =
        record.retiring() ? Lifecycle.RETIRING : observed ? Lifecycle.UP : Lifecycle.BOOTING;
    Machine machine =
        new Machine(record.machine(), record.zone(), record.spot(), type, lifecycle, now);
    machine.updateAddress(record.address());
    machine.changeMaintenance(record.maintenance());
    machine.record().restore(record.retiring(), record.address(), record.maintenance());
    if (observed) {
      machine.reachability().messageReceived();
    }
    machine.lease().setMinimumIncarnation(record.incarnation());
    return machine;
  }
}
