package io.pearscale.api;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.storage.JobOutcome;
import io.pearscale.transport.HttpServer.Response;
import io.pearscale.transport.MessagePack;
import java.time.Duration;

/** The responses to users' requests about one job. */
final class JobResponses {
  /** No task of the job runs. */
  static final String PENDING = "pending";

  /** A task of the job runs. */
  static final String RUNNING = "running";

  /** When users are to ask again whom this controller can't answer now. */
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private JobResponses() {}

  /** The submission is durable. */
  static Response accepted(String jobId) {
    return Response.of(201, stageBody(jobId, PENDING));
  }

  /** The job is known, and in that stage. */
  static Response stage(String jobId, String stage) {
    return Response.of(200, stageBody(jobId, stage));
  }

  /** The status of a job that is live. */
  static Response status(String jobId, String stage, int done, int running) {
    return Response.of(200, stageBody(jobId, stage).put("done", done).put("running", running));
  }

  /** The status of a job that is over. */
  static Response status(String jobId, JobOutcome outcome) {
    return status(jobId, outcome.stage(), outcome.completedTasks(), 0);
  }

  private static ObjectNode stageBody(String jobId, String stage) {
    return MessagePack.map().put("uid", jobId).put("stage", stage);
  }

  /** The submission breaks the protocol. */
  static Response malformed(String reason) {
    return Response.of(400, MessagePack.map().put("error", reason));
  }

  /** There never was such a job. */
  static Response notFound() {
    return Response.of(404, MessagePack.map().put("error", "no such job"));
  }

  /** The answer is not known now. */
  static Response unavailable(String reason) {
    return Response.unavailable(RETRY_AFTER, reason);
  }

  /** The key-value store does not answer, or not as fresh as the request. */
  static Response storeUnavailable() {
    return unavailable("state service");
  }
}
