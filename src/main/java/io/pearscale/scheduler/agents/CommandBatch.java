package io.pearscale.scheduler.agents;

import io.pearscale.protocol.AgentCommand;
import io.pearscale.protocol.CommandRequest;
import io.pearscale.scheduler.model.Machine;
import java.util.List;

/**
 * The commands of one message to an agent, a direct call or a heartbeat response.
 *
 * <p>Invariant: the fencing token and the incarnation are determined before the commands. Attempts
 * record them as those of their start, and the message carries exactly them. A message that left
 * with a higher token than its starts recorded could be overtaken by another message with that
 * token, and the agent's report of the token would then seem to prove that it refuses the starts.
 *
 * @param fencingToken the token that the message carries
 * @param incarnation the agent's incarnation for which the commands are intended
 * @param commands the commands in the order of execution
 */
record CommandBatch(long fencingToken, long incarnation, List<AgentCommand> commands) {

  /** Returns a batch with the machine's current token and incarnation. */
  static CommandBatch withCurrentToken(Machine machine, List<AgentCommand> commands) {
    return new CommandBatch(
        machine.fencing().current(), machine.lease().incarnation(), List.copyOf(commands));
  }

  /** Returns whether the batch only requests the agent's state. */
  boolean isProbe() {
    return commands.isEmpty();
  }

  /** Returns the direct call that carries the batch. */
  CommandRequest toRequest() {
    return new CommandRequest(fencingToken, incarnation, commands);
  }
}
