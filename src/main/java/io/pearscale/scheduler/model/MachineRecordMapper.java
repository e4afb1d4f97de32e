package io.pearscale.scheduler.model;

import io.pearscale.protocol.MachineType;
import io.pearscale.scheduler.model.Machine.Lifecycle;
import io.pearscale.storage.MachineRecordCodec.MachineRecord;
import java.time.Instant;

/** Maps machines to what is stored of them, and back. */
public final class MachineRecordMapper {
  private MachineRecordMapper() {}

  /**
   * What the machine's record is to say.
   *
   * @param number by which placement records name the machine, or its position, by the layout; 0
   *     where only the size counts
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

  /** A machine that a previous leader recorded; one with an address had been heard of. */
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
