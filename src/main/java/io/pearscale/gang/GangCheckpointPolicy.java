package io.pearscale.gang;

import java.time.Duration;
import java.util.Collection;

/**
 * Decides before the first stop of a gang is sent whether its tasks are to take a checkpoint. They
 * can only if all are stopped within the time that agents wait for each other, so if one can't be
 * reached now, none is asked to: the others would wait for it in vain, and keep their resources
 * meanwhile.
 */
public final class GangCheckpointPolicy {
  /**
   * What is known of a task that is to be stopped.
   *
   * @param running whether it runs; one that does not has nothing to save
   * @param reachable whether a command reaches its machine now
   */
  public record MemberReachability(boolean running, boolean reachable) {}

  private GangCheckpointPolicy() {}

  /**
   * Whether the tasks are to take a checkpoint.
   *
   * @param taskCount how many tasks the gang has
   * @param remaining how long all of them may still run
   * @param checkpointTime how long saving takes, and zero where the job never saves
   */
  public static boolean mayCheckpoint(
      Collection<MemberReachability> members,
      int taskCount,
      Duration remaining,
      Duration checkpointTime) {
    return members.size() == taskCount
        && remaining.compareTo(checkpointTime) > 0
        && members.stream().allMatch(member -> member.running && member.reachable);
  }
}
