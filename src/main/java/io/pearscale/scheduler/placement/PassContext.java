package io.pearscale.scheduler.placement;

import io.pearscale.protocol.JobSpec;
import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.model.Machine;
import io.pearscale.scheduler.model.Tuning;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/**
 * The inputs of a scheduling pass.
 *
 * @param machines the machines that are schedulable now
 * @param startObjective returns the time within which tasks of a job should start; empty without
 *     such an objective
 * @param queueOrder the order of jobs of the same priority; the last job is preempted first
 * @param reachableSince a machine that was reached after this time counts as reachable
 */
record PassContext(
    Tuning tuning,
    RandomGenerator random,
    List<Machine> machines,
    Function<JobSpec, Optional<Duration>> startObjective,
    Comparator<Job> queueOrder,
    Instant reachableSince,
    Instant now) {}
