package io.pearscale.scheduler;

import io.pearscale.protocol.MachineType;
import io.pearscale.protocol.Settings;
import io.pearscale.scheduler.CloudActor.Host;
import io.pearscale.scheduler.Machine.Lifecycle;
import io.pearscale.scheduler.MachineRetirement.Reason;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Rents machines and gives spare ones back, and takes in what the cloud says. */
final class MachineProvisioner {
  private static final Logger LOG = LoggerFactory.getLogger(MachineProvisioner.class);
  private static final AdaptiveThrottle PACING =
      new AdaptiveThrottle(20, Duration.ofSeconds(1), Duration.ofSeconds(10));

  /** A machine may be given back while the state service can be written, as of so long ago. */
  private static final Duration WRITABLE = Duration.ofSeconds(2);

  /** The record of a rented machine is written within that time, long before its first start. */
  private static final Duration RECORD_WITHIN = Duration.ofSeconds(1);

  /** A machine missing in the list is gone only if nothing was heard of it for so long. */
  private static final Duration UNLISTED_SILENCE = Duration.ofSeconds(6);

  /** After so many times the usual lag a list shows what was listed before. */
  private static final int LAGS = 3;

  private final Leadership leadership;
  private final JobTable jobs;
  private final MachineInventory inventory;
  private final LeaderRecords records;
  private final InstantSource clock;
  private final Settings settings;
  private final CloudActor cloud;
  private final Autoscaler fleet;
  private final QueueOrder order;
  private final FailureDetector health;
  private final MachineRetirement retirement;
  private final CommandDispatcher dispatcher;
  private final LeaderRecovery recovery;
  private final Optional<DrainCoordinator> drains;
  private Instant nextRent = Instant.MIN;

  /**
   * Makes a supply.
   *
   * @param drains if they are switched on, is asked before a replica is moved, and stops it
   */
  MachineProvisioner(
      LeaderState state,
      Settings settings,
      CloudActor cloud,
      Autoscaler fleet,
      QueueOrder order,
      FailureDetector health,
      MachineRetirement retirement,
      CommandDispatcher dispatcher,
      LeaderRecovery recovery,
      Optional<DrainCoordinator> drains) {
    this.leadership = state.leadership();
    this.jobs = state.jobs();
    this.inventory = state.inventory();
    this.records = state.records();
    this.clock = state.clock();
    this.settings = settings;
    this.cloud = cloud;
    this.fleet = fleet;
    this.order = order;
    this.health = health;
    this.retirement = retirement;
    this.dispatcher = dispatcher;
    this.recovery = recovery;
    this.drains = drains;
  }

  /** A term has begun. */
  void begin() {
    fleet.begin();
    cloud.tell(new CloudActor.Lead(leadership.term()));
  }

  /** The term is over. */
  void end() {
    cloud.tell(new CloudActor.Rest());
  }

  /** Rents and gives back, unless that was done just now. */
  void rentIfDue(Instant now) {
    if (now.isAfter(nextRent)) {
      rent(now);
      nextRent = now.plus(PACING.restAfter(Duration.between(now, clock.instant())));
    }
  }

  private void rent(Instant now) {
    retirement.deleteRetired();
    if (inventory.catalogue().types().isEmpty()) {
      return;
    }
    // When the state service can't be written, a machine marked now would be of no use to anybody.
    boolean mayGiveBack = recovery.isComplete() && leadership.provenWithin(WRITABLE);
    Autoscaler.Plan plan =
        fleet.plan(
            new Autoscaler.View(
                inventory.all(),
                m -> health.isSchedulable(m, now),
                jobs.all(),
                order.sorted(jobs.queued(), order.ranks(now), now),
                inventory.quotaUsage(),
                inventory.catalogue().types(),
                health.unreachableZones(now),
                drains.map(DrainCoordinator::replacements).orElse(List.of()),
                mayGiveBack),
            now);
    plan.hires().forEach(this::hire);
    plan.moves().forEach(this::move);
    plan.giveBack().forEach(machine -> retirement.retire(machine, Reason.IDLE));
  }

  private void hire(ScaleOutPlanner.Kind kind, int count) {
    LOG.info(
        "event=rent term={} type={} zone={} spot={} count={}",
        leadership.term(),
        kind.type(),
        kind.zone(),
        kind.spot(),
        count);
    cloud.tell(new CloudActor.Hire(kind, count));
  }

  private void move(TaskAttempt attempt) {
    if (drains.isPresent() && !drains.get().requestMove(attempt)) {
      return;
    }
    LOG.info(
        "event=move term={} machine={} task={} attempt={}",
        leadership.term(),
        attempt.machine.name,
        attempt.task,
        attempt.number);
    if (drains.isEmpty()) {
      inventory.stop(attempt);
      dispatcher.sendDueCommands(attempt.machine);
    }
  }

  /** Takes in what the cloud says. */
  void cloudSaid(CloudActor.Event event) {
    Instant now = clock.instant();
    if (event instanceof CloudActor.Catalogue e) {
      // Kept for restarts during an outage of the cloud; prices in it may be old.
      inventory.updateCatalogue(e.types());
      records.updateCatalogue(inventory.catalogue().names());
    } else if (event instanceof CloudActor.Hired e) {
      hired(e, now);
    } else if (event instanceof CloudActor.Refused e) {
      refused(e, now);
    } else if (event instanceof CloudActor.Deleted e) {
      e.names().forEach(inventory::confirmDeleted);
      records.requestCommit();
    } else if (event instanceof CloudActor.NotDeleted e) {
      retirement.retryDeletion(e.names());
    } else if (event instanceof CloudActor.Listed e) {
      listed(e.hosts(), now);
    }
  }

  private void hired(CloudActor.Hired event, Instant now) {
    ScaleOutPlanner.Kind kind = event.kind();
    fleet.renter().noteGranted(kind);
    Optional<MachineType> type = inventory.catalogue().find(kind.type());
    for (String name : event.names()) {
      boolean isNew = inventory.get(name) == null && !inventory.isRemoved(name);
      if (isNew && type.isPresent()) {
        Machine machine =
            new Machine(name, kind.zone(), kind.spot(), type.get(), Lifecycle.BOOTING, now);
        inventory.add(machine);
        records.assignSlot(machine);
        records.recordMachine(machine, RECORD_WITHIN);
      }
    }
    LOG.info(
        "event=rented term={} kind={} count={}", leadership.term(), kind, event.names().size());
  }

  private void refused(CloudActor.Refused event, Instant now) {
    if (event.trouble()) {
      fleet.renter().noteGranted(event.kind());
    } else {
      fleet.renter().noteRefused(event.kind(), now);
      LOG.info("event=no_capacity term={} kind={}", leadership.term(), event.kind());
    }
  }

  private void listed(List<Host> hosts, Instant now) {
    Set<String> names = new HashSet<>();
    for (Host host : hosts) {
      names.add(host.name());
      if (!inventory.isRemoved(host.name())) {
        listed(host, now);
      }
    }
    for (Machine machine : inventory.all()) {
      if (!names.contains(machine.name) && isGone(machine, now)) {
        retirement.retire(machine, Reason.NOT_LISTED);
      }
    }
  }

  private void listed(Host host, Instant now) {
    Machine machine = inventory.get(host.name());
    if (machine == null) {
      MachineType type = inventory.catalogue().typeOf(host.type());
      machine = new Machine(host.name(), host.zone(), host.spot(), type, Lifecycle.BOOTING, now);
      machine.address = host.address();
      inventory.add(machine);
    }
    if (!machine.listedByCloud) {
      machine.listedByCloud = true;
      machine.listedSince = now;
    }
    if (host.stage().equals("failed")) {
      retirement.retire(machine, Reason.STOPPED_BY_PROVIDER);
    }
  }

  /**
   * Whether a machine that the list misses is gone. Once listed, a machine stays listed until it
   * is, but a list may be older than the one before: machines that are new may be missing in it. A
   * deletion makes sure.
   */
  private boolean isGone(Machine machine, Instant now) {
    Duration lag = settings.cloudLimits().listLag().multipliedBy(LAGS);
    return machine.listedByCloud
        && machine.heartbeatEverReceived
        && now.isAfter(machine.listedSince.plus(lag))
        && now.isAfter(machine.lastReachableAt.plus(UNLISTED_SILENCE));
  }
}
