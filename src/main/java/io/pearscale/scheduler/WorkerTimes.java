package io.pearscale.scheduler;

import io.pearscale.protocol.Settings;
import java.time.Duration;

/**
 * Times that follow from how often workers report and how long their leases are. They are asked for
 * every machine in each pass, so they are worked out once.
 *
 * @param lease how long a worker keeps its tasks without an answer
 * @param halfLease for how long a machine that serves is waited for
 * @param leaseOver when nothing can be alive on a machine any more, after its last renewal: steady
 *     clocks differ by up to 0.05 % each; twice that and a second on top
 * @param reportDue reports come a quarter early or late; what is later than that is asked for
 * @param recent a machine heard since then is sure to be reached
 * @param silent how long a machine may say nothing before it counts as silent
 * @param usable how long a machine may say nothing and still get tasks
 * @param abandoned what was only planned for a machine that says nothing for so long is taken back
 */
record WorkerTimes(
    Duration lease,
    Duration halfLease,
    Duration leaseOver,
    Duration reportDue,
    Duration recent,
    Duration silent,
    Duration usable,
    Duration abandoned) {

  /** Works them out. */
  static WorkerTimes of(Settings.AgentSettings workers) {
    Duration report = workers.heartbeatInterval();
    Duration lease = workers.leaseTtl();
    return new WorkerTimes(
        lease,
        lease.dividedBy(2),
        lease.plus(lease.dividedBy(500)).plusSeconds(1),
        report.multipliedBy(13).dividedBy(10),
        report.multipliedBy(11).dividedBy(10),
        report.multipliedBy(9).dividedBy(5),
        report.multipliedBy(2).plusSeconds(1),
        report.multipliedBy(4));
  }
}
