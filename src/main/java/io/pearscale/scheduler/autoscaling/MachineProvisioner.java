package io.pearscale.scheduler.autoscaling;

import io.pearscale.protocol.ListedMachine;
import io.pearscale.protocol.MachineType;
import io.pearscale.protocol.Settings;
import io.pearscale.scheduler.agents.CommandDispatcher;
import io.pearscale.scheduler.agents.FailureDetector;
import io.pearscale.scheduler.agents.MachineRetirement;
import io.pearscale.scheduler.agents.MachineRetirement.Reason;
import io.pearscale.scheduler.autoscaling.ScaleOutPlanner.Offering;
import io.pearscale.scheduler.model.DecisionRecorder;
import io.pearscale.scheduler.model.JobTable;
import io.pearscale.scheduler.model.LeaderState;
import io.pearscale.scheduler.model.Leadership;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.Machine.Lifecycle;
import io.pearscale.scheduler.model.MachineInventory;
import io.pearscale.scheduler.model.TaskAttempt;
import io.pearscale.scheduler.placement.AdaptiveThrottle;
import io.pearscale.scheduler.placement.QueueOrder;
import io.pearscale.scheduler.records.LeaderRecovery;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Executes the autoscaler's plans, and processes the cloud's results. */
public final class MachineProvisioner {
  private static final Logger LOG = LoggerFactory.getLogger(MachineProvisioner.class);

  /** Limits planning to about one part in 20 of the time. */
  private static final AdaptiveThrottle THROTTLE =
      new AdaptiveThrottle(20, Duration.ofSeconds(1), Duration.ofSeconds(10));

  /** Machines are released only if a write to the key-value store succeeded this recently. */
  private static final Duration STORE_PROOF_MAX_AGE = Duration.ofSeconds(2);

  /** Maximum delay before a new machine is recorded, well before its first task starts. */
  private static final Duration MACHINE_RECORD_DELAY = Duration.ofSeconds(1);

  /** A machine missing from the list is presumed deleted only after being unreachable this long. */
  private static final Duration MIN_UNLISTED_UNREACHABLE_TIME = Duration.ofSeconds(6);

  /** After this multiple of the usual lag, a list contains every machine that was listed before. */
  private static final int LIST_LAG_FACTOR = 3;

  private final Leadership leadership;
  private final JobTable jobs;
  private final MachineInventory inventory;
  private final DecisionRecorder records;
  private final InstantSource clock;
  private final Settings settings;
  private final CloudActor cloud;
  private final Autoscaler autoscaler;
  private final QueueOrder queueOrder;
  private final FailureDetector failureDetector;
  private final MachineRetirement retirement;
  private final CommandDispatcher dispatcher;
  private final LeaderRecovery recovery;
  private final Optional<RelocationGate> relocationGate;
  private Instant nextScalingAt = Instant.MIN;

  /**
   * Creates a provisioner.
   *
   * @param relocationGate approves relocations; empty if drains are disabled, in which case
   *     replicas are relocated without approval
   */
  public MachineProvisioner(
      LeaderState state,
      Settings settings,
      CloudActor cloud,
      Autoscaler autoscaler,
      QueueOrder queueOrder,
      FailureDetector failureDetector,
      MachineRetirement retirement,
      CommandDispatcher dispatcher,
      LeaderRecovery recovery,
      Optional<RelocationGate> relocationGate) {
    this.leadership = state.leadership();
    this.jobs = state.jobs();
    this.inventory = state.inventory();
    this.records = state.records();
    this.clock = state.clock();
    this.settings = settings;
    this.cloud = cloud;
    this.autoscaler = autoscaler;
    this.queueOrder = queueOrder;
    this.failureDetector = failureDetector;
    this.retirement = retirement;
    this.dispatcher = dispatcher;
    this.recovery = recovery;
    this.relocationGate = relocationGate;
  }

  /** Begins a term: calls to the cloud start. */
  public void beginTerm() {
    autoscaler.beginTerm();
    cloud.tell(new CloudActor.BeginTerm(leadership.term()));
  }

  /** Ends the term: calls to the cloud stop. */
  public void endTerm() {
    cloud.tell(new CloudActor.EndTerm());
  }

  /** Provisions and releases machines, unless the last round was too recent. */
  public void scaleIfDue(Instant now) {
    if (now.isAfter(nextScalingAt)) {
      scale(now);
      nextScalingAt = now.plus(THROTTLE.pauseAfter(Duration.between(now, clock.instant())));
    }
  }

  private void scale(Instant now) {
    retirement.deleteRetired();
    if (inventory.catalogue().types().isEmpty()) {
      return;
    }
    // While the store can't be written, a retired machine would neither run tasks nor be deleted.
    boolean mayScaleIn = recovery.isComplete() && leadership.provenWithin(STORE_PROOF_MAX_AGE);
    Autoscaler.ScalingPlan plan =
        autoscaler.plan(
            new Autoscaler.ClusterView(
                inventory.all(),
                machine -> failureDetector.isSchedulable(machine, now),
                jobs.all(),
                queueOrder.sorted(jobs.queued(), queueOrder.ranks(now), now),
                inventory.quotaUsage(),
                inventory.catalogue().types(),
                failureDetector.unreachableZones(now),
                relocationGate.map(RelocationGate::replacementDemands).orElse(List.of()),
                mayScaleIn),
            now);
    plan.scaleOut().forEach(this::requestMachines);
    plan.relocations().forEach(this::relocate);
    plan.scaleIn().forEach(machine -> retirement.retire(machine, Reason.IDLE));
  }

  private void requestMachines(Offering offering, int count) {
    LOG.info(
        "event=scale_out term={} type={} zone={} spot={} count={}",
        leadership.term(),
        offering.type(),
        offering.zone(),
        offering.spot(),
        count);
    cloud.tell(new CloudActor.ProvisionMachines(offering, count));
  }

  private void relocate(TaskAttempt attempt) {
    if (relocationGate.isPresent() && !relocationGate.get().requestRelocation(attempt)) {
      return;
    }
    LOG.info(
        "event=replica_relocation term={} machine={} task={} attempt={}",
        leadership.term(),
        attempt.machine().name(),
        attempt.task(),
        attempt.number());
    if (relocationGate.isEmpty()) {
      inventory.stop(attempt);
      dispatcher.sendDueCommands(attempt.machine());
    }
  }

  /** Processes a result from the cloud. */
  public void handleCloudEvent(CloudActor.Event event) {
    if (addsMachines(event) && !leadership.isReady()) {
      // Recorded machines must be adopted from their records, which a previous leader wrote: it may
      // renew their leases. The next list contains the others.
      return;
    }
    Instant now = clock.instant();
    if (event instanceof CloudActor.CatalogueReceived received) {
      // Recorded for restarts during a cloud outage; recorded prices may be outdated.
      inventory.updateCatalogue(received.types());
      records.updateCatalogue(inventory.catalogue().names());
    } else if (event instanceof CloudActor.MachinesProvisioned received) {
      handleProvisioned(received, now);
    } else if (event instanceof CloudActor.ProvisioningRefused received) {
      handleRefused(received, now);
    } else if (event instanceof CloudActor.MachinesDeleted received) {
      received.names().forEach(inventory::confirmDeleted);
      records.requestCommit();
    } else if (event instanceof CloudActor.DeletionFailed received) {
      retirement.retryDeletion(received.names());
    } else if (event instanceof CloudActor.MachinesListed received) {
      handleListed(received.machines(), now);
    }
  }

  private static boolean addsMachines(CloudActor.Event event) {
    return event instanceof CloudActor.MachinesProvisioned
        || event instanceof CloudActor.MachinesListed;
  }

  private void handleProvisioned(CloudActor.MachinesProvisioned event, Instant now) {
    Offering offering = event.offering();
    autoscaler.scaleOutPlanner().recordGranted(offering);
    Optional<MachineType> type = inventory.catalogue().find(offering.type());
    for (String name : event.names()) {
      boolean isNew = inventory.get(name) == null && !inventory.isDeleted(name);
      if (isNew && type.isPresent()) {
        Machine machine =
            new Machine(name, offering.zone(), offering.spot(), type.get(), Lifecycle.BOOTING, now);
        inventory.add(machine);
        records.assignSlot(machine);
        records.recordMachine(machine, MACHINE_RECORD_DELAY);
      }
    }
    LOG.info(
        "event=machines_provisioned term={} offering={} count={}",
        leadership.term(),
        offering,
        event.names().size());
  }

  /**
   * Handles a refusal. A provider error says nothing about capacity, so the offering may be
   * requested again immediately.
   */
  private void handleRefused(CloudActor.ProvisioningRefused event, Instant now) {
    if (event.providerError()) {
      autoscaler.scaleOutPlanner().recordGranted(event.offering());
    } else {
      autoscaler.scaleOutPlanner().recordRefused(event.offering(), now);
      LOG.info("event=no_capacity term={} offering={}", leadership.term(), event.offering());
    }
  }

  /** Processes the complete machine list; machines missing from it may have been deleted. */
  private void handleListed(List<ListedMachine> listing, Instant now) {
    Set<String> names = new HashSet<>();
    for (ListedMachine listed : listing) {
      names.add(listed.name());
      if (!inventory.isDeleted(listed.name())) {
        handleListed(listed, now);
      }
    }
    for (Machine machine : inventory.all()) {
      if (!names.contains(machine.name()) && isPresumedDeleted(machine, now)) {
        retirement.retire(machine, Reason.NOT_LISTED);
      }
    }
  }

  /** Processes one entry of the machine list, which may be an unknown machine. */
  private void handleListed(ListedMachine listed, Instant now) {
    Machine machine = inventory.get(listed.name());
    if (machine == null) {
      MachineType type = inventory.catalogue().typeOf(listed.type());
      machine =
          new Machine(listed.name(), listed.zone(), listed.spot(), type, Lifecycle.BOOTING, now);
      machine.updateAddress(listed.address());
      inventory.add(machine);
    }
    machine.cloud().recordListed(now);
    if (listed.stopped()) {
      retirement.retire(machine, Reason.STOPPED_BY_PROVIDER);
    }
  }

  /**
   * Returns whether a machine that is missing from the list is presumed deleted. Once listed, a
   * machine stays listed until its deletion, but a list may be older than the previous one, so new
   * machines may be missing from it. The machine is deleted explicitly in case the presumption is
   * wrong.
   */
  private boolean isPresumedDeleted(Machine machine, Instant now) {
    Duration lag = settings.cloudLimits().listLag().multipliedBy(LIST_LAG_FACTOR);
    return machine.cloud().isListed()
        && machine.reachability().heartbeatEverReceived()
        && now.isAfter(machine.cloud().listedSince().plus(lag))
        && now.isAfter(
            machine.reachability().lastReachableAt().plus(MIN_UNLISTED_UNREACHABLE_TIME));
  }
}
