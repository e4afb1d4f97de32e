package io.pearscale.scheduler.model;

import java.time.Duration;

/**
 * Scheduling and autoscaling parameters that operators can set.
 *
 * @param sampleSize the number of feasible machines to find before the best one is chosen
 * @param strandedWeight cost of the share of each resource that would be left unused on a machine
 * @param sameMachineWeight cost per task of the same service on the machine
 * @param packingWeight bonus for a machine that would run many tasks of the same batch job
 * @param sameZoneWeight cost per task of the same job in the zone
 * @param zoneBalanceWeight cost of a zone with less available capacity than the zone with the most
 * @param cachedImageWeight bonus for a cached image; also the cost of each image fetch that would
 *     share the bandwidth, and of a pause in direct commands to the machine
 * @param onDemandWeight cost of placing work that allows spot machines on an on-demand machine
 * @param scaleInAfterIdle how long a machine has to be a scale-in candidate before it is released
 * @param reserveShare capacity to reserve beyond what is used, as a fraction of what is used
 * @param headroomShare fraction of the running tasks of a class with a start objective for which
 *     capacity is reserved
 * @param spotRiskFactor factor applied to the spot price for the risk of losing the machine
 */
public record Tuning(
    int sampleSize,
    double strandedWeight,
    double sameMachineWeight,
    double packingWeight,
    double sameZoneWeight,
    double zoneBalanceWeight,
    double cachedImageWeight,
    double onDemandWeight,
    Duration scaleInAfterIdle,
    double reserveShare,
    double headroomShare,
    double spotRiskFactor) {

  /** Returns the default parameters. */
  public static Tuning defaults() {
    return new Tuning(
        24, 1.0, 0.3, 1.5, 0.1, 0.5, 3.0, 0.3, Duration.ofSeconds(30), 0.25, 0.05, 1.15);
  }
}
