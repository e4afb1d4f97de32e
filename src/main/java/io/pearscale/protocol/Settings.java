package io.pearscale.protocol;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * The platform settings of a controller.
 *
 * @param controllerName the name of this controller, unique among all controllers
 * @param zone the zone in which this controller runs
 * @param clientListen the listen address for users, agents and the load balancer
 * @param peerListen the listen address for the other controllers
 * @param peers the names and listen addresses of the other controllers
 * @param cloudAddress the host and port of the cloud's API
 * @param storeAddress the host and port of the key-value store
 * @param teams the teams and their quotas
 * @param serviceLevelObjectives the objectives of the job classes
 * @param agents the timing of agents
 * @param storeLimits the limits of the key-value store, shared by all controllers
 * @param cloudLimits the limits of the cloud
 * @param maxConnections the maximum number of open sockets of this controller
 * @param cpuShare the share of a processor core that is available to this controller; 1 is a whole
 *     core
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

  /** The TTL of the leader lease with at least half a core. */
  private static final Duration MIN_LEADER_LEASE_TTL = Duration.ofMillis(2200);

  private static final Duration MAX_LEADER_LEASE_TTL = Duration.ofSeconds(6);
  private static final Duration MAX_RELAY_TIMEOUT = Duration.ofMillis(3200);
  private static final double HALF_CORE = 0.5;

  /** The lower bound of the share of a core in calculations. */
  private static final double MIN_CPU_SHARE = 1e-3;

  /** The part of the cancellation timeout that is reserved for delays between components. */
  private static final Duration CANCELLATION_MARGIN = Duration.ofSeconds(6);

  private static final Duration MIN_RENEWAL_AUTHORITY_TIMEOUT = Duration.ofSeconds(1);

  /**
   * The quota of a team. An amount of 0 means no guarantee or no limit.
   *
   * @param guaranteedCpus processor cores that are guaranteed to the team
   * @param cpuLimit the maximum number of processor cores that its running tasks may use
   * @param guaranteedGpus accelerators that are guaranteed to the team
   * @param gpuLimit the maximum number of accelerators that its running tasks may use
   */
  public record Team(
      String name, double guaranteedCpus, double cpuLimit, double guaranteedGpus, double gpuLimit) {
    /** Returns whether the team has a guarantee or a limit, so that its usage must be counted. */
    public boolean hasQuota() {
      return guaranteedCpus > 0 || guaranteedGpus > 0 || hasQuotaLimit();
    }

    /** Returns whether the resources of its running tasks are limited. */
    public boolean hasQuotaLimit() {
      return cpuLimit > 0 || gpuLimit > 0;
    }
  }

  /**
   * A service-level objective of a job class.
   *
   * @param kind the measured quantity, as named in the settings
   * @param jobClass the job class
   * @param target the time limit
   */
  public record ServiceLevelObjective(String kind, String jobClass, Duration target) {}

  /**
   * The timing of agents.
   *
   * @param heartbeatInterval the interval between heartbeats of an agent
   * @param leaseTtl the time from sending the last answered heartbeat until the lease of the agent
   *     expires, which ends all of its tasks
   * @param cancellationTimeout the time after the acknowledgement of a cancellation within which
   *     all tasks of the job must have stopped
   * @param gangs the timing of gang jobs; empty if the settings contain none, which disables gang
   *     jobs
   */
  public record AgentSettings(
      Duration heartbeatInterval,
      Duration leaseTtl,
      Duration cancellationTimeout,
      Optional<GangTimeouts> gangs) {}

  /**
   * The timing of gang jobs.
   *
   * @param formationTimeout how long a task waits for the other tasks of its attempt
   * @param peerLossTimeout the time within which the other tasks must be stopped after one is lost
   */
  public record GangTimeouts(Duration formationTimeout, Duration peerLossTimeout) {}

  /**
   * The limits of the key-value store.
   *
   * @param requestsPerSecond the maximum rate of all requests
   * @param writesPerSecond the maximum rate of keys written or deleted
   * @param maxValueBytes the maximum size of a value
   * @param maxTransactionOperations the maximum number of keys that a transaction writes or deletes
   */
  public record StoreLimits(
      double requestsPerSecond,
      double writesPerSecond,
      int maxValueBytes,
      int maxTransactionOperations) {
    /** Returns the element-wise minimum of both. */
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
   * @param requestsPerSecond the maximum rate of all requests
   * @param listLag the usual lag of the machine list
   */
  public record CloudLimits(double requestsPerSecond, Duration listLag) {}

  /**
   * Returns how long a leader may renew agent leases after its last proof of leadership. One lease
   * TTL later, every lease that it could have renewed has expired and the machine of the agent runs
   * no tasks. The sum of both times stays below the cancellation timeout by a margin for delays.
   */
  public Duration renewalAuthorityTimeout() {
    Duration timeout =
        agents.cancellationTimeout().minus(agents.leaseTtl()).minus(CANCELLATION_MARGIN);
    return timeout.compareTo(MIN_RENEWAL_AUTHORITY_TIMEOUT) < 0
        ? MIN_RENEWAL_AUTHORITY_TIMEOUT
        : timeout;
  }

  /**
   * Returns the TTL of the leader lease in the key-value store. On a small share of a core, a
   * start, a takeover or a large scheduling pass prevents a healthy leader from renewing for
   * seconds, and replacing it costs another takeover on an equally slow processor. Pauses increase
   * with the slowdown, but less than proportionally. The TTL therefore scales with the square root
   * of the slowdown: a constant TTL is too short on a slow processor, and a proportional one lets
   * an isolated leader block the others for tens of seconds.
   */
  public Duration leaderLeaseTtl() {
    double slowdown = Math.sqrt(HALF_CORE / Math.max(MIN_CPU_SHARE, cpuShare));
    Duration ttl = Duration.ofMillis((long) (MIN_LEADER_LEASE_TTL.toMillis() * slowdown));
    if (ttl.compareTo(MIN_LEADER_LEASE_TTL) < 0) {
      return MIN_LEADER_LEASE_TTL;
    }
    return ttl.compareTo(MAX_LEADER_LEASE_TTL) > 0 ? MAX_LEADER_LEASE_TTL : ttl;
  }

  /** Returns the names of all controllers, including this one, in alphabetical order. */
  public Set<String> controllerNames() {
    Set<String> names = new TreeSet<>(peers.keySet());
    names.add(controllerName);
    return names;
  }

  /** Returns the division of the sockets of this controller. */
  public ConnectionLimits connectionLimits() {
    return ConnectionLimits.of(maxConnections);
  }

  /**
   * Returns how long a controller waits for the leader's response to a heartbeat that it has
   * forwarded. Agents drop responses after 4 s, so the timeout for a slow leader is almost as long.
   * With a fast leader it is shorter, because an agent that learns sooner that there is no response
   * tries another controller sooner.
   */
  public Duration relayTimeout() {
    Duration timeout = leaderLeaseTtl().multipliedBy(2).dividedBy(3);
    return timeout.compareTo(MAX_RELAY_TIMEOUT) > 0 ? MAX_RELAY_TIMEOUT : timeout;
  }
}
