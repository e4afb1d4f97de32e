package io.pearscale.gang;

/**
 * One task of a gang that is or may be present on a machine.
 *
 * @param attempt the number of its attempt; below 0 if a previous leader started the task and no
 *     heartbeat has reported it yet
 * @param stopping whether the task is to be stopped
 */
public record Member(long attempt, MemberStage stage, boolean stopping) {
  /** Returns whether the number of its attempt is known. */
  boolean isKnown() {
    return attempt >= 0;
  }
}
