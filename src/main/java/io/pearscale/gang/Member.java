package io.pearscale.gang;

/**
 * One task of a gang that is, or may be, on a machine.
 *
 * @param attempt its attempt; below 0 when a former leader started it and no message has shown it
 * @param stopping whether it is to stop
 */
public record Member(long attempt, MemberStage stage, boolean stopping) {
  /** Whether the attempt is known. */
  boolean isKnown() {
    return attempt >= 0;
  }
}
