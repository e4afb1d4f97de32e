package io.pearscale.scheduler.model;

import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.MachineType;
import io.pearscale.protocol.Priority;
import io.pearscale.storage.Maintenance;
import java.time.Instant;
import java.util.Optional;

/**
 * A machine, as the leader sees it: its identity, its lifecycle state and the task attempts that
 * may be on it. Separate components hold its lease, fencing tokens, reachability, durable record,
 * failures, cached images, cloud state, and the ended or unknown attempts that its agent reports.
 */
public final class Machine {
  /** The lifecycle of a machine from its request to its deletion; it only advances. */
  public enum Lifecycle {
    /** The machine was requested or listed, but its agent has not sent a message. */
    BOOTING,
    /** The agent has sent a message. */
    UP,
    /**
     * The machine is to be released. It is never used again, because a delayed deletion may still
     * reach it.
     */
    RETIRING
  }

  private final String name;
  private final String zone;
  private final boolean spot;
  private final Instant provisionedAt;
  private MachineType type;
  private Lifecycle lifecycle;
  private String address = "";

  private final IncarnationLease lease = new IncarnationLease();
  private final FencingTokens fencing = new FencingTokens();
  private final Reachability reachability = new Reachability();
  private final MachineRecordState record = new MachineRecordState();
  private final MachineFailures failures = new MachineFailures();
  private final ImageCache images = new ImageCache();
  private final HostedAttempts attempts;
  private final ReportedAttempts reportedAttempts = new ReportedAttempts();
  private final CloudState cloud = new CloudState();

  private boolean reconciled;
  private boolean leaseExpired;
  private Optional<Instant> preemptionAt = Optional.empty();
  private Maintenance maintenance = Maintenance.IN_SERVICE;
  private boolean drainPlanned;

  /**
   * Creates a machine from a provisioning request, a machine list, a stored record or an agent's
   * message.
   *
   * @param spot whether the cloud provider may reclaim the machine at short notice
   * @param type the type from the catalogue; without capacity until the catalogue is known
   * @param provisionedAt when the machine was requested or first observed
   */
  public Machine(
      String name,
      String zone,
      boolean spot,
      MachineType type,
      Lifecycle lifecycle,
      Instant provisionedAt) {
    this.name = name;
    this.zone = zone;
    this.spot = spot;
    this.type = type;
    this.lifecycle = lifecycle;
    this.provisionedAt = provisionedAt;
    this.attempts = new HostedAttempts(type);
  }

  // ---- Identity ----

  /**
   * Returns the name that the cloud provider assigned; it is unique among all machines that ever
   * existed.
   */
  public String name() {
    return name;
  }

  /** Returns the machine's zone, which is a failure domain. */
  public String zone() {
    return zone;
  }

  /** Returns whether the cloud provider may reclaim the machine at short notice. */
  public boolean spot() {
    return spot;
  }

  /** Returns when the machine was requested, or when this leader first observed it. */
  public Instant provisionedAt() {
    return provisionedAt;
  }

  /** Returns the type from the catalogue; without capacity until the catalogue is known. */
  public MachineType type() {
    return type;
  }

  /** Replaces the type after a change of the catalogue. */
  void updateType(MachineType newType) {
    type = newType;
    attempts.updateType(newType);
  }

  /**
   * Returns the address at which the agent accepts commands, or an empty string while it is
   * unknown.
   */
  public String address() {
    return address;
  }

  /** Sets the address at which the agent accepts commands. */
  public void updateAddress(String newAddress) {
    address = newAddress;
  }

  // ---- Components ----

  /** Returns the incarnations of the agent and their lease. */
  public IncarnationLease lease() {
    return lease;
  }

  /** Returns the fencing tokens. */
  public FencingTokens fencing() {
    return fencing;
  }

  /** Returns whether messages reach the machine and the leader, in each direction. */
  public Reachability reachability() {
    return reachability;
  }

  /** Returns the state of the machine's durable record. */
  public MachineRecordState record() {
    return record;
  }

  /** Returns the failures of tasks on the machine. */
  public MachineFailures failures() {
    return failures;
  }

  /** Returns the images that the machine is assumed to have cached. */
  public ImageCache images() {
    return images;
  }

  /** Returns the machine's state at the cloud provider and in the autoscaler. */
  public CloudState cloud() {
    return cloud;
  }

  /** Returns the ended and unknown attempts that the agent reports. */
  public ReportedAttempts reportedAttempts() {
    return reportedAttempts;
  }

  // ---- Lifecycle ----

  /** Returns the lifecycle state. */
  public Lifecycle lifecycle() {
    return lifecycle;
  }

  /** Marks the machine as retiring; it receives no further tasks. */
  public void beginRetirement() {
    lifecycle = Lifecycle.RETIRING;
  }

  // ---- Maintenance ----

  /** Returns whether the machine is in maintenance and, if so, in which stage. */
  public Maintenance maintenance() {
    return maintenance;
  }

  /**
   * Changes the maintenance stage. Entering probation clears the known images, because the disk may
   * have been replaced.
   */
  public void changeMaintenance(Maintenance newMaintenance) {
    maintenance = newMaintenance;
    if (newMaintenance.stage() == Maintenance.Stage.PROBATION) {
      images.clear();
    }
  }

  /**
   * Returns whether a drain of the machine is planned. Tasks placed on it would soon be moved
   * again.
   */
  public boolean isDrainPlanned() {
    return drainPlanned;
  }

  /** Sets whether a drain of the machine is planned. */
  public void setDrainPlanned(boolean planned) {
    drainPlanned = planned;
  }

  /**
   * Returns when the cloud provider will reclaim the machine; empty if its agent has reported no
   * preemption notice.
   */
  public Optional<Instant> preemptionAt() {
    return preemptionAt;
  }

  // ---- Messages of the agent ----

  /**
   * Returns whether a message has reported a fencing token of this term since every task on the
   * machine was last proven ended. From then on, messages list every task on the machine.
   */
  public boolean reconciled() {
    return reconciled;
  }

  /** Records that a message has reported a fencing token of this term. */
  public void markReconciled() {
    reconciled = true;
  }

  /**
   * Returns whether the lease has expired and no message with a fencing token of this term has
   * arrived since, so that every task on the machine has ended.
   */
  public boolean leaseExpired() {
    return leaseExpired;
  }

  /**
   * Records that the lease has expired. The agent has moved to another incarnation and has to
   * report it with a fencing token of this term. A delayed message of the previous incarnation
   * describes only past state.
   */
  public void expireLease() {
    leaseExpired = true;
    reconciled = false;
    reportedAttempts.clear();
  }

  /** Records the fencing token and the agent's address from a message. */
  public void recordMessage(long token, String newAddress) {
    fencing.observe(token);
    address = newAddress;
    if (lifecycle == Lifecycle.BOOTING) {
      lifecycle = Lifecycle.UP;
    }
  }

  /**
   * Records a message of this term, which shows that the machine is alive.
   *
   * @param newPreemptionAt when the cloud provider will reclaim the machine, if the message says so
   */
  public void recordAlive(Optional<Instant> newPreemptionAt) {
    leaseExpired = false;
    preemptionAt = newPreemptionAt;
  }

  /** Records that a task with the image runs on the machine, so that the agent has the image. */
  public void recordImageUse(String image, double sizeGb) {
    images.recordUse(image, sizeGb, type.imageCacheGb());
  }

  // ---- Attempts and resources ----

  /** Returns the attempts that may be on the machine. */
  public HostedAttempts attempts() {
    return attempts;
  }

  /**
   * Returns how many images other than the given one are being, or will be, fetched for attempts on
   * the machine.
   */
  public int otherImageFetches(String image) {
    return attempts.otherImageFetches(image, images);
  }

  /**
   * Returns the resources available after all planned starts and requested stops, as a copy that
   * the caller may change.
   */
  public Resources available() {
    return availableWithPreemption(Priority.IDLE).copy();
  }

  /**
   * Returns the resources that would be available if all attempts of lower priority were preempted.
   * The result is cached, because every pass queries every machine and most have not changed.
   * Callers must not change it.
   */
  public Resources availableWithPreemption(Priority priority) {
    return attempts.availableWithPreemption(priority);
  }

  /**
   * Returns the resources available now, counting every attempt that may be on the machine, as a
   * copy that the caller may change.
   */
  public Resources physicallyAvailable() {
    return attempts.physicallyAvailable();
  }

  /**
   * Returns how many more tasks of the job the machine could take, preempting attempts of lower
   * priority if necessary.
   */
  public int capacityWithPreemption(JobSpec spec) {
    return availableWithPreemption(spec.priority()).countFitting(spec);
  }
}
