package io.pearscale.scheduler.agents;

import io.pearscale.scheduler.autoscaling.CloudActor;
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
 * Gives machines back: first it is recorded that they are never used again, since a late deletion
 * may still reach them, then the cloud is asked.
 */
public final class MachineRetirement {
  private static final Logger LOG = LoggerFactory.getLogger(MachineRetirement.class);

  /** Why a machine is given back. */
  public enum Reason {
    /** It did not come up in several times the usual time. */
    BOOT_TIMEOUT,
    /** The cloud has taken it, as it said it would. */
    PREEMPTED,
    /** It fails what it starts. */
    QUARANTINED,
    /** It does not answer, while others do. */
    UNREACHABLE,
    /** It answers, but does not report. */
    HEARTBEAT_PATH_DOWN,
    /** Nothing was heard of it for longer than any lease. */
    MISSED_HEARTBEATS,
    /** It is not needed. */
    IDLE,
    /** It was drained, and is not to be held. */
    DRAINED,
    /** The cloud says that it stopped. */
    STOPPED_BY_PROVIDER,
    /** The cloud does not list it any more. */
    NOT_LISTED;

    String logName() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /** The cloud deletes so many machines with one request. */
  private static final int MAX_DELETIONS_PER_REQUEST = 100;

  private final Leadership leadership;
  private final MachineInventory inventory;
  private final DecisionRecorder records;
  private final CloudActor cloud;

  /** Creates the retirement of machines, which deletes them through the given cloud. */
  public MachineRetirement(LeaderState state, CloudActor cloud) {
    this.leadership = state.leadership();
    this.inventory = state.inventory();
    this.records = state.records();
    this.cloud = cloud;
  }

  /** The machine is not used any more; it is deleted once that is durable. */
  public void retire(Machine machine, Reason reason) {
    if (machine.lifecycle() == Lifecycle.RETIRING) {
      return;
    }
    LOG.info(
        "event=give_back term={} machine={} why={}",
        leadership.term(),
        machine.name(),
        reason.logName());
    machine.beginRetirement();
    records.assignSlot(machine);
    records.recordMachineNow(machine);
  }

  /** Asks the cloud to delete what is durably recorded as retiring. */
  public void deleteRetired() {
    List<String> names = new ArrayList<>();
    for (Machine machine : inventory.all()) {
      if (machine.lifecycle() == Lifecycle.RETIRING
          && machine.record().isRetiring()
          && !machine.cloud().isDeletionRequested()
          && names.size() < MAX_DELETIONS_PER_REQUEST) {
        machine.cloud().deletionRequested();
        names.add(machine.name());
      }
    }
    if (!names.isEmpty()) {
      cloud.tell(new CloudActor.DeleteMachines(names));
    }
  }

  /** The cloud has not deleted the machines, as far as known: it is asked again. */
  public void retryDeletion(List<String> names) {
    for (String name : names) {
      Machine machine = inventory.get(name);
      if (machine != null) {
        machine.cloud().deletionFailed();
      }
    }
  }
}
