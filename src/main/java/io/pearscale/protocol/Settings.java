package io.pearscale.protocol;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * The platform's settings of one controller.
 *
 * @param controllerName the name of this controller, unique among the controllers
 * @param zone the zone that it runs in
 * @param clientListen where users, agents and the load balancer connect
 * @param peerListen where the other controllers connect
 * @param peers the other controllers, and where they listen for this one
 * @param cloudAddress the cloud's address, as host and port
 * @param storeAddress the key-value store's address, as host and port
 * @param teams the teams and their quotas
 * @param serviceLevelObjectives what is expected of classes of jobs
 * @param agents the timing of agents
 * @param storeLimits the limits of the key-value store, for all controllers together
 * @param cloudLimits the limits of the cloud
 * @param maxConnections how many sockets this controller may have open
 * @param cpuShare the part of a processor's core that this controller has; 1 is a whole core
 */
public record Settings(
    String controllerName,
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

  /** The TTL of the lease of a leader that has at least half a core. */
  private static final Duration MIN_LEADER_LEASE_TTL = Duration.ofMillis(2200);

  private static final Duration MAX_LEADER_LEASE_TTL = Duration.ofSeconds(6);
  private static final Duration MAX_RELAY_TIMEOUT = Duration.ofMillis(3200);
  private static final double HALF_CORE = 0.5;

  /** A smaller share of a core is taken for this one. */
  private static final double MIN_CPU_SHARE = 1e-3;

  /** What is left of the cancellation timeout for delays between the parts of the system. */
  private static final Duration CANCELLATION_MARGIN = Duration.ofSeconds(6);

  private static final Duration MIN_RENEWAL_AUTHORITY_TIMEOUT = Duration.ofSeconds(1);

  /**
   * A team's quota. An amount of 0 means that there is no guarantee, or no limit.
   *
   * @param guaranteedCpus processor cores that the team gets before others
   * @param cpuLimit processor cores that its tasks may use at any time
   * @param guaranteedGpus accelerators that the team gets before others
   * @param gpuLimit accelerators that its tasks may use at any time
   */
  public record Team(
      String name, double guaranteedCpus, double cpuLimit, double guaranteedGpus, double gpuLimit) {
    /** Whether there is any guarantee or limit, so that the team's usage must be counted. */
    public boolean hasQuota() {
      return guaranteedCpus > 0 || guaranteedGpus > 0 || hasQuotaLimit();
    }

    /** Whether its tasks may use only so much at any time. */
    public boolean hasQuotaLimit() {
      return cpuLimit > 0 || gpuLimit > 0;
    }
  }

  /**
   * What is expected of a class of jobs.
   *
   * @param kind what is measured, in the words of the settings
   * @param jobClass the class of jobs
   * @param target the time within which it is expected
   */
  public record ServiceLevelObjective(String kind, String jobClass, Duration target) {}

  /**
   * The timing of agents.
   *
   * @param heartbeatInterval how often an agent sends a heartbeat
   * @param leaseTtl how long after the sending of the last answered heartbeat an agent's lease
   *     ends, and with it all of its tasks
   * @param cancellationTimeout within this time of the acknowledgement no task of a cancelled job
   *     may run
   * @param gangs the timing of gang jobs; empty if the platform names none, and serves no gangs
   */
  public record AgentSettings(
      Duration heartbeatInterval,
      Duration leaseTtl,
      Duration cancellationTimeout,
      Optional<GangTimeouts> gangs) {}

  /**
   * The timing of gang jobs.
   *
   * @param formationTimeout how long a task waits for the others of its attempt
   * @param peerLossTimeout within this time of the loss of one all others have to be stopped
   */
  public record GangTimeouts(Duration formationTimeout, Duration peerLossTimeout) {}

  /**
   * The limits of the key-value store.
   *
   * @param requestsPerSecond requests of any kind
   * @param writesPerSecond keys written or deleted
   * @param maxValueBytes the largest value
   * @param maxTransactionOperations keys that a transaction may write and delete
   */
  public record StoreLimits(
      double requestsPerSecond,
      double writesPerSecond,
      int maxValueBytes,
      int maxTransactionOperations) {
    /** The smaller of both in each respect. */
    public StoreLimits min(StoreLimits other) {
      return new StoreLimits(
          Math.min(requestsPerSecond, other.requestsPerSecond),
          Math.min(writesPerSecond, other.writesPerSecond),
          Math.min(maxValueBytes, other.maxValueBytes),
          Math.min(maxTransactionOperations, other.maxTransactionOperations));
    }
  }

  /**
   * The limits of the cloud.
   *
   * @param requestsPerSecond requests of any kind
   * @param listLag by how much the list of machines usually is out of date
   */
  public record CloudLimits(double requestsPerSecond, Duration listLag) {}

  /**
   * For how long after its last proof of leadership a leader may go on renewing leases of agents.
   * After that, and one lease TTL more, every machine that it could have kept alive is empty; both
   * together stay below the cancellation timeout, less a margin for delays.
   */
  public Duration renewalAuthorityTimeout() {
    Duration timeout =
        agents.cancellationTimeout().minus(agents.leaseTtl()).minus(CANCELLATION_MARGIN);
    return timeout.compareTo(MIN_RENEWAL_AUTHORITY_TIMEOUT) < 0
        ? MIN_RENEWAL_AUTHORITY_TIMEOUT
        : timeout;
  }

  /**
   * The TTL of the leader's lease of the key-value store. On a small part of a core a start, a
   * takeover or a large scheduling pass keeps a healthy leader from renewing for seconds, and
   * deposing it costs another takeover, on a processor that is as slow. What takes a process by
   * surprise grows with its slowness, though not all of it: the square root is between a TTL that
   * is always short and one that lets a leader which is cut off keep others waiting for tens of
   * seconds.
   */
  public Duration leaderLeaseTtl() {
    double slowdown = Math.sqrt(HALF_CORE / Math.max(MIN_CPU_SHARE, cpuShare));
    Duration ttl = Duration.ofMillis((long) (MIN_LEADER_LEASE_TTL.toMillis() * slowdown));
    if (ttl.compareTo(MIN_LEADER_LEASE_TTL) < 0) {
      return MIN_LEADER_LEASE_TTL;
    }
    return ttl.compareTo(MAX_LEADER_LEASE_TTL) > 0 ? MAX_LEADER_LEASE_TTL : ttl;
  }

  /** The names of all controllers, this one included, in alphabetical order. */
  public Set<String> controllerNames() {
    Set<String> names = new TreeSet<>(peers.keySet());
    names.add(controllerName);
    return names;
  }

  /** How this controller divides its sockets. */
  public ConnectionLimits connectionLimits() {
    return ConnectionLimits.of(maxConnections);
  }

  /**
   * For how long a relay waits for the leader's response to a heartbeat. Agents drop responses
   * after 4 s, so a leader that is slow for a while is waited for almost as long; with a quick one,
   * the sooner an agent learns that there is no response, the sooner it asks elsewhere.
   */
  public Duration relayTimeout() {
    Duration timeout = leaderLeaseTtl().multipliedBy(2).dividedBy(3);
    return timeout.compareTo(MAX_RELAY_TIMEOUT) > 0 ? MAX_RELAY_TIMEOUT : timeout;
  }
}
