package io.pearscale.scheduler.model;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.pearscale.protocol.AgentCommand;
import io.pearscale.protocol.MachineType;
import io.pearscale.protocol.TaskId;
import io.pearscale.scheduler.model.DecisionLog.Channel;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;

class DecisionLogTest {
  private static final TaskId TASK = new TaskId("wk-1", 0);
  private final DecisionLog log =
      new DecisionLog(
          new Leadership(() -> Instant.EPOCH, Duration.ofSeconds(14)), () -> Instant.EPOCH);
  private final Machine machine =
      new Machine(
          "m-1",
          "a",
          false,
          new MachineType("small", 8, 0, 64, 10, 1, 1, 1, Duration.ZERO, List.of("a")),
          Machine.Lifecycle.UP,
          Instant.EPOCH);

  @Test
  void countsStartsProofsAndOutcomesUntilTaken() {
    log.recordCommandsSent(
        machine,
        5,
        List.of(
            AgentCommand.start(TASK, 1),
            AgentCommand.forget(TASK, 0),
            AgentCommand.start(new TaskId("wk-1", 1), 2)),
        Channel.COMMAND);
    log.recordCommandsSent(
        machine, 6, List.of(AgentCommand.start(TASK, 3)), Channel.HEARTBEAT_RESPONSE);
    log.recordCommandOutcome(CommandOutcome.EXECUTED);
    log.recordCommandOutcome(CommandOutcome.UNKNOWN);
    log.recordCommandOutcome(CommandOutcome.EXECUTED);
    TaskAttempt attempt =
        new TaskAttempt(null, TASK, 1, machine, TaskAttempt.Stage.START_SENT, Instant.EPOCH);
    log.recordAbsenceProved(attempt, AbsenceProof.ENDED);
    log.recordAbsenceProved(attempt, AbsenceProof.LEASE_EXPIRED);
    assertEquals(
        "starts=[2,1] absences=[0,0,1,0,0,1,0] incarnations=0 commands=[2,0,0,1]",
        log.takeCounts());
    assertEquals(
        "starts=[0,0] absences=[0,0,0,0,0,0,0] incarnations=0 commands=[0,0,0,0]",
        log.takeCounts());
  }
}
