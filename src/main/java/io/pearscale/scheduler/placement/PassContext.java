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
 * What a pass decides by.
 *
 * @param machines those that may take tasks now
 * @param startObjective in which time tasks like these are expected to start, if any
 * @param queueOrder the order of jobs of one priority: the last is the first to be preempted
 * @param reachableSince machines reached since then are taken to be reachable
 */
record PassContext(
    Tuning tuning,
    RandomGenerator random,
    List<Machine> machines,
    Function<JobSpec, Optional<Duration>> startObjective,
    Comparator<Job> queueOrder,
    Instant reachableSince,
    Instant now) {}
