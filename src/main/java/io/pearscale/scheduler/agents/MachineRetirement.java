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
 * Releases machines: first it is recorded durably that they are never used again, since a late
 * deletion may still reach them, then the provider is asked to delete them.
 */
public final class MachineRetirement {
  private static final Logger LOG = LoggerFactory.getLogger(MachineRetirement.class);

  /** Why a machine is released. */
  public enum Reason {
    /** It has not come up in several times the usual time. */
    BOOT_TIMEOUT,
    /** The provider has taken it back, as its notice said. */
    PREEMPTED,
    /** Tasks fail there that run elsewhere. */
    QUARANTINED,
    /** It answers no probes, while other machines do. */
    UNREACHABLE,
    /** It answers commands, but sends no heartbeats. */
    HEARTBEAT_PATH_DOWN,
    /** Its lease has expired, and nothing was heard of it for several leases. */
    MISSED_HEARTBEATS,
    /** It has no tasks and is not needed. */
    IDLE,
    /** It was drained, and is not to be kept. */
    DRAINED,
    /** The provider lists it as stopped. */
    STOPPED_BY_PROVIDER,
    /** The provider does not list it any more. */
    NOT_LISTED;

    /** As the log names it. */
    String logName() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  private final Leadership leadership;
  private final MachineInventory inventory;
  private final DecisionRecorder records;
  private final MachineDeleter deleter;

  /** Makes a retirement that asks the deleter. */
  public MachineRetirement(LeaderState state, MachineDeleter deleter) {
    this.leadership = state.leadership();
    this.inventory = state.inventory();
    this.records = state.records();
    this.deleter = deleter;
  }

  /** The machine is not used any more; it is deleted once that is durable. Done once a machine. */
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

  /** Requests the deletion of machines that are durably recorded as retiring. */
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

  /** The machines were not deleted, as far as known: their deletion is requested again. */
  public void retryDeletion(List<String> names) {
    for (String name : names) {
      Machine machine = inventory.get(name);
      if (machine != null) {
        machine.cloud().recordDeletionFailed();
      }
    }
  }
}
