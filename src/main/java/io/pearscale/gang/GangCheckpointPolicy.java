package io.pearscale.gang;

import java.time.Duration;
import java.util.Collection;

/**
 * Decides whether the tasks of a gang take a checkpoint, before the first stop is sent. A gang can
 * take a checkpoint only if all its tasks are stopped within the time that agents wait for each
 * other. If one task is unreachable, no checkpoint is requested: the other tasks would wait for it
 * until they time out, and hold their resources meanwhile.
 */
public final class GangCheckpointPolicy {
  /**
   * The state of a task that is to be stopped.
   *
   * @param running whether the task runs; otherwise it has nothing to save
   * @param reachable whether its machine can currently receive a command
   */
  public record MemberState(boolean running, boolean reachable) {}

  private GangCheckpointPolicy() {}

  /**
   * Returns whether the tasks take a checkpoint.
   *
   * @param taskCount the number of tasks of the gang
   * @param remaining how long all of the tasks can still run
   * @param checkpointDuration how long a checkpoint takes; zero if the job takes no checkpoints
   */
  public static boolean mayCheckpoint(
      Collection<MemberState> members,
      int taskCount,
      Duration remaining,
      Duration checkpointDuration) {
    return members.size() == taskCount
        && remaining.compareTo(checkpointDuration) > 0
        && members.stream().allMatch(member -> member.running && member.reachable);
  }
}
