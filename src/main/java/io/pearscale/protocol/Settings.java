package io.pearscale.protocol;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/** The platform's settings of one controller. */
public record Settings(
    String host,
    String zone,
    InetSocketAddress clientListen,
    InetSocketAddress peerListen,
    Map<String, InetSocketAddress> peers,
    String cloudAddress,
    String storeAddress,
    List<Team> teams,
    List<ServiceLevelObjective> serviceLevelObjectives,
    AgentSettings agents,
    StoreLimits storeLimits,
    CloudLimits cloudLimits,
    int maxConnections,
    double cpuShare) {

  /** How long a leader on a whole or half core may be silent before another is elected. */
  private static final Duration MIN_LEADER_LEASE_TTL = Duration.ofMillis(2200);

  private static final Duration MAX_LEADER_LEASE_TTL = Duration.ofSeconds(6);
  private static final Duration MAX_RELAY_TIMEOUT = Duration.ofMillis(3200);
  private static final double HALF_CORE = 0.5;

  /** A team's guarantee and limit; an amount of 0 means that there is none. */
  public record Team(
      String name, double guaranteedCpus, double cpuLimit, double guaranteedGpus, double gpuLimit) {
    /** Whether it has any guarantee or limit, so that its use must be counted. */
    public boolean hasQuota() {
      return guaranteedCpus > 0 || guaranteedGpus > 0 || hasQuotaLimit();
    }

    /** Whether its tasks may use only so much at any time. */
    public boolean hasQuotaLimit() {
      return cpuLimit > 0 || gpuLimit > 0;
    }
  }

  /** What is expected of a class of jobs. */
  public record ServiceLevelObjective(String kind, String jobClass, Duration target) {}

  /**
   * The workers' times.
   *
   * @param gangs those of gang jobs; empty where the platform names none, and no gang is served
   */
  public record AgentSettings(
      Duration heartbeatInterval,
      Duration leaseTtl,
      Duration cancellationTimeout,
      Optional<GangTimeouts> gangs) {}

  /**
   * The workers' times for gang jobs.
   *
   * @param formationTimeout how long a task waits for the others of its attempt
   * @param peerLossTimeout in which time the loss of one is noticed, and all have to be told to
   *     stop
   */
  public record GangTimeouts(Duration formationTimeout, Duration peerLossTimeout) {}

  /** The limits of the state service. */
  public record StoreLimits(
      double requestsPerSecond,
      double writesPerSecond,
      int maxValueBytes,
      int maxTransactionOperations) {
    /** The smaller of both in each respect. */
    public StoreLimits smallerOf(StoreLimits other) {
      return new StoreLimits(
          Math.min(requestsPerSecond, other.requestsPerSecond),
          Math.min(writesPerSecond, other.writesPerSecond),
          Math.min(maxValueBytes, other.maxValueBytes),
          Math.min(maxTransactionOperations, other.maxTransactionOperations));
    }
  }

  /** The limits of the cloud. */
  public record CloudLimits(double requestsPerSecond, Duration listLag) {}

  /**
   * How long a leader may go on renewing leases after the last proof that it leads. After that, and
   * a lease, every machine that it could have kept alive is empty; both together stay below the
   * time that a cancelled task has, less a margin for delays.
   */
  public Duration renewalAuthorityTimeout() {
    Duration timeout = agents.cancellationTimeout().minus(agents.leaseTtl()).minusSeconds(6);
    return timeout.compareTo(Duration.ofSeconds(1)) < 0 ? Duration.ofSeconds(1) : timeout;
  }

  /**
   * For how long the leader's grant is asked. On a small part of a core a start, a takeover or a
   * large pass keeps a healthy leader from renewing for seconds, and deposing it costs another
   * takeover, on a processor that is as slow. What takes a process by surprise grows with its
   * slowness, though not all of it: the square root is between a grant that is always short and one
   * that lets a leader which is cut off keep others waiting for tens of seconds.
   */
  public Duration leaderLeaseTtl() {
    double slowness = Math.sqrt(HALF_CORE / Math.max(1e-3, cpuShare));
    Duration ttl = Duration.ofMillis((long) (MIN_LEADER_LEASE_TTL.toMillis() * slowness));
    if (ttl.compareTo(MIN_LEADER_LEASE_TTL) < 0) {
      return MIN_LEADER_LEASE_TTL;
    }
    return ttl.compareTo(MAX_LEADER_LEASE_TTL) > 0 ? MAX_LEADER_LEASE_TTL : ttl;
  }

  /** All controllers. */
  public Set<String> hosts() {
    Set<String> hosts = new TreeSet<>(peers.keySet());
    hosts.add(host);
    return hosts;
  }

  /** How the sockets are divided. */
  public ConnectionLimits connectionLimits() {
    return ConnectionLimits.of(maxConnections);
  }

  /**
   * For how long a relay waits for the leader's answer to a report. Workers drop answers after 4 s,
   * so a leader that is slow for a while is waited for almost as long; with a quick one, the sooner
   * a worker learns that there is no answer, the sooner it asks elsewhere.
   */
  public Duration relayTimeout() {
    Duration timeout = leaderLeaseTtl().multipliedBy(2).dividedBy(3);
    return timeout.compareTo(MAX_RELAY_TIMEOUT) > 0 ? MAX_RELAY_TIMEOUT : timeout;
  }
}
