package io.pearscale.gang;

/**
 * One task of a gang that is, or may be, on a machine.
 *
 * @param attempt the number of its attempt; below 0 when a previous leader started it and no
 *     heartbeat has shown it
 * @param stopping whether it is to be stopped
 */
public record Member(long attempt, MemberStage stage, boolean stopping) {
  /** Whether the number of its attempt is known. */
  boolean isKnown() {
    return attempt >= 0;
  }
}
