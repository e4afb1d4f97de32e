package io.pearscale.scheduler;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.protocol.JobSpec;
import io.pearscale.transport.MessagePack;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import org.junit.jupiter.api.Test;

/** What is kept of gangs, and for how long. */
class GangsTest {
  private static final InstantSource CLOCK = () -> Instant.EPOCH;
  private static final Duration HOLD = Duration.ofSeconds(14);
  private static final Duration FORMING = Duration.ofSeconds(40);

  private static Job gang(String id) throws Exception {
    ObjectNode submission =
        MessagePack.map()
            .put("uid", id)
            .put("lineup", "c")
            .put("crew", "t")
            .put("shape", "group")
            .put("rank", "normal")
            .put("pieces", 3)
            .put("vcpus", 1.0)
            .put("accelerators", 0.0)
            .put("memoryGb", 1.0)
            .put("bundle", "i")
            .put("imageGb", 1.0)
            .put("oneZone", false)
            .put("spread", false)
            .put("windfall", true)
            .put("guessS", 10.0)
            .put("bookmarkS", 0.0)
            .put("stashS", 0.0);
    return new Job(JobSpec.parse(submission), 0, Instant.EPOCH, /* limited= */ false);
  }

  @Test
  void aGangWhoseJobIsOverIsForgotten() throws Exception {
    Gangs gangs = new Gangs(new Leadership(CLOCK, HOLD), CLOCK, FORMING);
    Job kept = gang("wk-1");
    Job over = gang("wk-2");
    gangs.begin(kept, 1);
    gangs.begin(over, 2);
    assertTrue(gangs.counts().contains("gangs_forming=2"), gangs.counts());
    gangs.forgetAllBut(kept::equals);
    assertTrue(gangs.counts().contains("gangs_forming=1"), gangs.counts());
  }
}
