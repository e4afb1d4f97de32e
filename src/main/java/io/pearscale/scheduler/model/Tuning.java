package io.pearscale.scheduler.model;

import java.time.Duration;

/**
 * Operators' own settings. The defaults of the sample size and of the scoring terms are the
 * design's starting values.
 *
 * @param sampleSize feasible machines to find before the best is taken
 * @param strandedWeight cost of room left over on a machine, per resource
 * @param sameMachineWeight cost per task of the same service on the machine
 * @param packingWeight bonus of a machine on which many tasks of the same batch job would be
 * @param sameZoneWeight cost per task of the same job in the zone
 * @param zoneBalanceWeight cost of using a zone that has less room left than the roomiest
 * @param cachedImageWeight bonus of a cached image
 * @param onDemandWeight cost of putting work that may use spot machines on an ordinary one
 * @param scaleInAfterIdle how long a machine must have been to spare before it is given back
 * @param reserveShare room to keep beyond what is used, as a part of what is used
 * @param headroomShare part of the running tasks of a class with a start objective for which room
 *     is kept
 * @param spotRiskFactor factor on the spot price for the risk of losing the machine
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

  /** The defaults. */
  public static Tuning defaults() {
    return new Tuning(
        24, 1.0, 0.3, 1.5, 0.1, 0.5, 3.0, 0.3, Duration.ofSeconds(30), 0.25, 0.05, 1.15);
  }
}
