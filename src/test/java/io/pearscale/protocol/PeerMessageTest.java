package io.pearscale.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.pearscale.protocol.PeerMessage.Confirmation;
import io.pearscale.protocol.PeerMessage.ConfirmationRequest;
import io.pearscale.protocol.PeerMessage.ControllerHeartbeat;
import io.pearscale.protocol.PeerMessage.ForwardedHeartbeat;
import io.pearscale.protocol.PeerMessage.ForwardedHeartbeatResponse;
import io.pearscale.protocol.PeerMessage.JobCancelled;
import io.pearscale.protocol.PeerMessage.JobTaskCount;
import io.pearscale.protocol.PeerMessage.LiveJobs;
import io.pearscale.protocol.PeerMessage.TaskCounts;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Encoded peer messages decode to equal messages, and invalid records are rejected. */
class PeerMessageTest {
  private static final TaskId TASK = new TaskId("wk-7", 3);

  private static final List<PeerMessage> MESSAGES =
      List.of(
          new ControllerHeartbeat(9, "hive-2", true),
          new ForwardedHeartbeat(
              4,
              new Heartbeat(
                  "m-1",
                  "10.0.0.1:9",
                  "g",
                  "a",
                  true,
                  2,
                  88,
                  41,
                  Optional.of(Duration.ofSeconds(12)),
                  List.of(
                      new Heartbeat.TaskStatus(TASK, 5, Heartbeat.Stage.ENDED, "done"),
                      new Heartbeat.TaskStatus(TASK, 6, Heartbeat.Stage.FETCHING, "")))),
          new ForwardedHeartbeatResponse(
              4,
              new HeartbeatResponse(
                  200,
                  77,
                  List.of(
                      AgentCommand.start(TASK, 8),
                      AgentCommand.stop(TASK, 7, Duration.ofSeconds(4)),
                      AgentCommand.forget(TASK, 6)))),
          new TaskCounts(List.of(new JobTaskCount("wk-7", 1, 2))),
          new ConfirmationRequest(12, 431),
          new Confirmation(12, 9, List.of("wk-3", "wk-5"), Optional.empty()),
          new Confirmation(12, 9, List.of(), Optional.of(new LiveJobs(430, List.of("wk-8")))),
          new JobCancelled("wk-3"));

  @Test
  void encodedMessagesDecodeToTheSameValue() throws MalformedMessageException {
    for (PeerMessage m : MESSAGES) {
      assertEquals(m, PeerMessage.decode(PeerMessage.encode(m)));
    }
  }

  @Test
  void truncatedOrExtendedRecordsAreMalformed() {
    for (PeerMessage m : MESSAGES) {
      byte[] encoded = PeerMessage.encode(m);
      for (int n = 0; n < encoded.length; n++) {
        byte[] truncated = Arrays.copyOf(encoded, n);
        assertThrows(
            MalformedMessageException.class,
            () -> PeerMessage.decode(truncated),
            m + " truncated to " + n);
      }
      byte[] extended = Arrays.copyOf(encoded, encoded.length + 1);
      assertThrows(MalformedMessageException.class, () -> PeerMessage.decode(extended));
    }
  }
}
