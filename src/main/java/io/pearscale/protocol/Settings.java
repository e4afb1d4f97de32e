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
    String cloud,
    String state,
    List<Team> teams,
    List<Objective> objectives,
    Workers workers,
    State stateLimits,
    Cloud cloudLimits,
    int maxConnections,
    double cpuShare) {

  /** How long a leader on a whole or half core may be silent before another is elected. */
  private static final Duration SHORTEST_GRANT = Duration.ofMillis(2200);

  private static final Duration LONGEST_GRANT = Duration.ofSeconds(6);
  private static final Duration LONGEST_RELAY = Duration.ofMillis(3200);
  private static final double HALF_CORE = 0.5;

  /** A team's guarantee and limit; an amount of 0 means that there is none. */
  public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {
    /** Whether it has any guarantee or limit, so that its use must be counted. */
    public boolean bounded() {
      return cpus > 0 || gpus > 0 || limited();
    }

    /** Whether its tasks may use only so much at any time. */
    public boolean limited() {
      return cpusMax > 0 || gpusMax > 0;
    }
  }

  /** What is expected of a class of jobs. */
  public record Objective(String kind, String jobClass, Duration within) {}

  /**
   * The workers' times.
   *
   * @param gangs those of gang jobs; empty where the platform names none, and no gang is served
   */
  public record Workers(
      Duration report, Duration lease, Duration cancel, Optional<GangTimes> gangs) {}

  /**
   * The workers' times for gang jobs.
   *
   * @param forming how long a task waits for the others of its attempt
   * @param peerLoss in which time the loss of one is noticed, and all have to be told to stop
   */
  public record GangTimes(Duration forming, Duration peerLoss) {}

  /** The limits of the state service. */
  public record State(double rps, double writeRps, int valueBytes, int txnOps) {
    /** The smaller of both in each respect. */
    public State smallerOf(State other) {
      return new State(
          Math.min(rps, other.rps),
          Math.min(writeRps, other.writeRps),
          Math.min(valueBytes, other.valueBytes),
          Math.min(txnOps, other.txnOps));
    }
  }

  /** The limits of the cloud. */
  public record Cloud(double rps, Duration listLag) {}

  /**
   * How long a leader may go on renewing leases after the last proof that it leads. After that, and
   * a lease, every machine that it could have kept alive is empty; both together stay below the
   * time that a cancelled task has, less a margin for delays.
   */
  public Duration hold() {
    Duration room = workers.cancel().minus(workers.lease()).minusSeconds(6);
    return room.compareTo(Duration.ofSeconds(1)) < 0 ? Duration.ofSeconds(1) : room;
  }

  /**
   * For how long the leader's grant is asked. On a small part of a core a start, a takeover or a
   * large pass keeps a healthy leader from renewing for seconds, and deposing it costs another
   * takeover, on a processor that is as slow. What takes a process by surprise grows with its
   * slowness, though not all of it: the square root is between a grant that is always short and one
   * that lets a leader which is cut off keep others waiting for tens of seconds.
   */
  public Duration grantTime() {
    double slowness = Math.sqrt(HALF_CORE / Math.max(1e-3, cpuShare));
    Duration time = Duration.ofMillis((long) (SHORTEST_GRANT.toMillis() * slowness));
    if (time.compareTo(SHORTEST_GRANT) < 0) {
      return SHORTEST_GRANT;
    }
    return time.compareTo(LONGEST_GRANT) > 0 ? LONGEST_GRANT : time;
  }

  /** All controllers. */
  public Set<String> hosts() {
    Set<String> hosts = new TreeSet<>(peers.keySet());
    hosts.add(host);
    return hosts;
  }

  /** How the sockets are divided. */
  public SocketShares sockets() {
    return SocketShares.of(maxConnections);
  }

  /**
   * For how long a relay waits for the leader's answer to a report. Workers drop answers after 4 s,
   * so a leader that is slow for a while is waited for almost as long; with a quick one, the sooner
   * a worker learns that there is no answer, the sooner it asks elsewhere.
   */
  public Duration relayPatience() {
    Duration patience = grantTime().multipliedBy(2).dividedBy(3);
    return patience.compareTo(LONGEST_RELAY) > 0 ? LONGEST_RELAY : patience;
  }
}
