package io.pearscale.scheduler.model;

import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.MachineType;
import io.pearscale.protocol.Priority;
import io.pearscale.storage.Maintenance;
import java.time.Instant;
import java.util.Optional;

/**
 * A machine, as the leader sees it: who it is, where it is in its lifecycle, and which task
 * attempts may be on it. What is known of its lease, fencing tokens, reachability, records,
 * failures, images and of attempts that it reports beyond the expected ones is kept in a part of
 * its own each.
 */
public final class Machine {
  /** Where a machine is between its request and its deletion; only ever moves forward. */
  public enum Lifecycle {
    /** Requested or listed, but never heard of. */
    BOOTING,
    /** Its agent has been heard of. */
    UP,
    /** To be released; never used again, since a late deletion may still reach it. */
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
  private Optional<Instant> preemptionNoticeAt = Optional.empty();
  private Maintenance maintenance = Maintenance.IN_SERVICE;
  private boolean drainPlanned;

  /**
   * A machine of which nothing is known yet but what was asked for, or what the cloud or an agent
   * says.
   *
   * @param spot whether the cloud may take it back after a short notice
   * @param type as the catalogue has it; without any capacity until the catalogue is known
   * @param provisionedAt when it was requested, or when it was first heard of
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

  // ---- What it is ----

  /** The name that the cloud gave it; unique among all machines ever. */
  public String name() {
    return name;
  }

  /** The zone that it is in, a failure domain. */
  public String zone() {
    return zone;
  }

  /** Whether the cloud may take it back after a short notice. */
  public boolean spot() {
    return spot;
  }

  /** When it was requested, or when this leader first heard of it. */
  public Instant provisionedAt() {
    return provisionedAt;
  }

  /** Its type, as the catalogue has it; without any capacity until the catalogue is known. */
  public MachineType type() {
    return type;
  }

  /** The catalogue has changed. */
  void updateType(MachineType newType) {
    type = newType;
    attempts.updateType(newType);
  }

  /** Where its agent takes commands; empty while that is not known. */
  public String address() {
    return address;
  }

  /** The cloud or the agent says where the agent takes commands. */
  public void updateAddress(String newAddress) {
    address = newAddress;
  }

  // ---- Its parts ----

  /** The incarnations of its agent, and until when anything in them can be alive. */
  public IncarnationLease lease() {
    return lease;
  }

  /** Its fencing tokens. */
  public FencingTokens fencing() {
    return fencing;
  }

  /** Whether it can be reached, and reaches the leader. */
  public Reachability reachability() {
    return reachability;
  }

  /** What is durably stored of it. */
  public MachineRecordState record() {
    return record;
  }

  /** What failed on it. */
  public MachineFailures failures() {
    return failures;
  }

  /** The images that it is taken to have. */
  public ImageCache images() {
    return images;
  }

  /**
   * What the cloud lists, what it was asked to delete, and whether the machine could be released.
   */
  public CloudState cloud() {
    return cloud;
  }

  /** Ended and unknown attempts that its agent reports. */
  public ReportedAttempts reportedAttempts() {
    return reportedAttempts;
  }

  // ---- Lifecycle ----

  /** Where it is between its request and its deletion. */
  public Lifecycle lifecycle() {
    return lifecycle;
  }

  /** It is to be released, and gets nothing to run any more. */
  public void beginRetirement() {
    lifecycle = Lifecycle.RETIRING;
  }

  // ---- Maintenance ----

  /** Whether it is in maintenance, and in which stage. */
  public Maintenance maintenance() {
    return maintenance;
  }

  /** It enters a stage of maintenance; its disk may have been exchanged before probation. */
  public void changeMaintenance(Maintenance newMaintenance) {
    maintenance = newMaintenance;
    if (newMaintenance.stage() == Maintenance.Stage.PROBATION) {
      images.clear();
    }
  }

  /** Whether a drain will come to it: what is placed there would soon be moved again. */
  public boolean isDrainPlanned() {
    return drainPlanned;
  }

  /** Says whether a drain will come to it. */
  public void setDrainPlanned(boolean planned) {
    drainPlanned = planned;
  }

  /** When the cloud will take the machine back; empty while no notice was received. */
  public Optional<Instant> preemptionNoticeAt() {
    return preemptionNoticeAt;
  }

  // ---- What its agent says ----

  /**
   * Whether a message has shown a token of this term since the last proof that nothing was alive:
   * from then on, messages tell all that is on the machine.
   */
  public boolean reconciled() {
    return reconciled;
  }

  /** A message has shown a token of this term. */
  public void markReconciled() {
    reconciled = true;
  }

  /** Whether its lease ran out and it has shown no sign of life since: nothing is alive there. */
  public boolean leaseExpired() {
    return leaseExpired;
  }

  /**
   * Its lease has run out. Its agent has gone on to another incarnation and has to show that, with
   * this term's token: messages of this one that were held back say only what was.
   */
  public void expireLease() {
    leaseExpired = true;
    reconciled = false;
    reportedAttempts.clear();
  }

  /** A message shows the token, and where the agent takes commands. */
  public void recordMessage(long token, String newAddress) {
    fencing.observe(token);
    address = newAddress;
    if (lifecycle == Lifecycle.BOOTING) {
      lifecycle = Lifecycle.UP;
    }
  }

  /**
   * A message of this term shows that it lives.
   *
   * @param newNotice when the cloud will take it back, if it said so
   */
  public void recordAlive(Optional<Instant> newNotice) {
    leaseExpired = false;
    preemptionNoticeAt = newNotice;
  }

  /** A task runs on it: its agent has the image. */
  public void recordImageUse(String image, double sizeGb) {
    images.recordUse(image, sizeGb, type.imageCacheGb());
  }

  // ---- Attempts on it, and its resources ----

  /** The attempts that may be on it. */
  public HostedAttempts attempts() {
    return attempts;
  }

  /** How many images beside that one are fetched, or are to be, for attempts on it. */
  public int otherImageFetches(String image) {
    return attempts.otherImageFetches(image, images);
  }

  /** What is available once everything decided has come to pass; the caller may change it. */
  public Resources available() {
    return availableWithPreemption(Priority.IDLE).copy();
  }

  /**
   * What would be available if all below the priority were preempted. Kept from one question to the
   * next, since every pass asks every machine and most have not changed. Not to be changed.
   */
  public Resources availableWithPreemption(Priority priority) {
    return attempts.availableWithPreemption(priority);
  }

  /** What is available now, counting all that may be on the machine; the caller may change it. */
  public Resources physicallyAvailable() {
    return attempts.physicallyAvailable();
  }

  /** How many more tasks of the job it could take, preempting lower ones if need be. */
  public int capacityWithPreemption(JobSpec spec) {
    return availableWithPreemption(spec.priority()).countFitting(spec);
  }
}
