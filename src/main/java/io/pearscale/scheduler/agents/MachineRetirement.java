package io.pearscale.scheduler.agents;

import io.pearscale.protocol.CloudApi;
import io.pearscale.scheduler.model.DecisionRecorder;
import io.pearscale.scheduler.model.LeaderState;
import io.pearscale.scheduler.model.Leadership;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.Machine.Lifecycle;
import io.pearscale.scheduler.model.MachineInventory;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Releases machines in two steps: first the machine record durably marks the machine as retiring,
 * then the provider is asked to delete it. A retiring machine is never used again, since a delayed
 * deletion request may still take effect.
 */
public final class MachineRetirement {
  private static final Logger LOG = LoggerFactory.getLogger(MachineRetirement.class);

  /** The reason for releasing a machine. */
  public enum Reason {
    /** It has not come up within several times its type's boot time. */
    BOOT_TIMEOUT,
    /** The provider has preempted it, as its preemption notice announced. */
    PREEMPTED,
    /** Tasks that run on other machines fail on it. */
    QUARANTINED,
    /** It does not answer probes, while most other machines are reachable. */
    UNREACHABLE,
    /** It answers commands, but its heartbeats do not arrive. */
    HEARTBEAT_PATH_DOWN,
    /** Its lease has expired, and the leader has not reached it for several lease durations. */
    MISSED_HEARTBEATS,
    /** It has no tasks and is not needed. */
    IDLE,
    /** It was drained and should not be kept. */
    DRAINED,
    /** The provider lists it as stopped. */
    STOPPED_BY_PROVIDER,
    /** The provider no longer lists it. */
    NOT_LISTED;

    /** Returns the name that log events use. */
    String logName() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  private final Leadership leadership;
  private final MachineInventory inventory;
  private final DecisionRecorder records;
  private final MachineDeleter deleter;

  /** Creates a retirement that deletes machines through the deleter. */
  public MachineRetirement(LeaderState state, MachineDeleter deleter) {
    this.leadership = state.leadership();
    this.inventory = state.inventory();
    this.records = state.records();
    this.deleter = deleter;
  }

  /**
   * Takes the machine out of use. It is deleted once its record is durable. Does nothing if the
   * machine is already retiring.
   */
  public void retire(Machine machine, Reason reason) {
    if (machine.lifecycle() == Lifecycle.RETIRING) {
      return;
    }
    LOG.info(
        "event=scale_in term={} machine={} reason={}",
        leadership.term(),
        machine.name(),
        reason.logName());
    machine.beginRetirement();
    records.assignSlot(machine);
    records.recordMachineNow(machine);
  }

  /**
   * Requests the deletion of machines that are durably recorded as retiring, at most as many as one
   * request allows; the next call requests the others.
   */
  public void deleteRetired() {
    List<String> names = new ArrayList<>();
    for (Machine machine : inventory.all()) {
      if (machine.lifecycle() == Lifecycle.RETIRING
          && machine.record().isRetiring()
          && !machine.cloud().isDeletionRequested()
          && names.size() < CloudApi.MAX_DELETED_PER_REQUEST) {
        machine.cloud().recordDeletionRequested();
        names.add(machine.name());
      }
    }
    if (!names.isEmpty()) {
      deleter.delete(names);
    }
  }

  /** Schedules another deletion request for machines whose deletion was not confirmed. */
  public void retryDeletion(List<String> names) {
    for (String name : names) {
      Machine machine = inventory.get(name);
      if (machine != null) {
        machine.cloud().recordDeletionFailed();
      }
    }
  }
}
