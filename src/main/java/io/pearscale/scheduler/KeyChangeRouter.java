package io.pearscale.scheduler;

import io.pearscale.protocol.MachineType;
import io.pearscale.scheduler.maintenance.DrainCoordinator;
import io.pearscale.storage.Keys;
import io.pearscale.storage.StoreReplicaActor.Entry;
import io.pearscale.storage.StoreReplicaActor.KeyChange;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Dispatches each change of a stored key to the component that maintains the state of that key. */
final class KeyChangeRouter {
  private final LeaderComponents components;
  private final JobTermination jobTermination;

  KeyChangeRouter(LeaderComponents components, JobTermination jobTermination) {
    this.components = components;
    this.jobTermination = jobTermination;
  }

  /** Replaces the known state with the loaded keys. */
  void load(Map<String, Entry> entries) {
    components.jobs.idsWithoutKey(entries.keySet()).forEach(jobTermination::endJob);
    components.jobs.clearUnreadable();
    components.records.storedValues().clear();
    components.levelUpgrader.clearAnnouncements();
    components.drainCoordinator.ifPresent(DrainCoordinator::clearStoredValues);
    entries.forEach((key, entry) -> apply(new KeyChange(key, Optional.of(entry))));
  }

  /** Applies a change of one key. */
  void apply(KeyChange change) {
    String key = change.key();
    if (Keys.isLiveJob(key)) {
      applyJob(change);
    } else if (Keys.isPlacementRecords(key) || Keys.isMachineRecords(key)) {
      components.records.storedValues().apply(change);
    } else if (Keys.isDrain(key) || Keys.isDrainMachines(key) || Keys.isDisruptions(key)) {
      components.drainCoordinator.ifPresent(drains -> drains.applyChange(change));
    } else if (Keys.isSupportRecord(key)) {
      components.levelUpgrader.applyAnnouncement(change);
    } else if (key.equals(Keys.CATALOGUE) && change.entry().isPresent()) {
      applyCatalogue(change.entry().get());
    }
  }

  private void applyJob(KeyChange change) {
    String key = change.key();
    if (change.entry().isPresent()) {
      components.jobs.add(key, change.entry().get());
    } else {
      components.jobs.clearUnreadable(key);
      jobTermination.endJob(Keys.lastSegment(key));
    }
  }

  /**
   * Updates the machine catalogue. A leader uses the catalogue of the cloud, and the stored one
   * only until it has received the former.
   */
  private void applyCatalogue(Entry entry) {
    List<MachineType> types = MachineType.parseAll(entry.value());
    components.records.storedValues().updateCatalogue(types);
    if (!components.leadership.isLeading() || components.inventory.catalogue().types().isEmpty()) {
      components.inventory.updateCatalogue(types);
    }
  }
}
