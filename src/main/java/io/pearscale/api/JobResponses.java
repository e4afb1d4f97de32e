package io.pearscale.api;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.storage.JobOutcome;
import io.pearscale.transport.HttpServer.Response;
import io.pearscale.transport.MessagePack;
import java.time.Duration;

/** Responses to user requests about a job. */
final class JobResponses {
  /** The stage of a live job without running tasks. */
  static final String PENDING = "pending";

  /** The stage of a live job with at least one running task. */
  static final String RUNNING = "running";

  /** The delay before a retry if this controller cannot answer a request. */
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private JobResponses() {}

  /** Returns the response to a submission that is durable. */
  static Response accepted(String jobId) {
    return Response.of(201, stageBody(jobId, PENDING));
  }

  /** Returns the response for a known job in the given stage. */
  static Response stage(String jobId, String stage) {
    return Response.of(200, stageBody(jobId, stage));
  }

  /** Returns the status of a live job. */
  static Response status(String jobId, String stage, int done, int running) {
    return Response.of(200, stageBody(jobId, stage).put("done", done).put("running", running));
  }

  /** Returns the status of a finished job. */
  static Response status(String jobId, JobOutcome outcome) {
    return status(jobId, outcome.stage(), outcome.completedTasks(), 0);
  }

  private static ObjectNode stageBody(String jobId, String stage) {
    return MessagePack.map().put("uid", jobId).put("stage", stage);
  }

  /** Returns the response to a submission that violates the protocol. */
  static Response malformed(String reason) {
    return Response.of(400, MessagePack.map().put("error", reason));
  }

  /** Returns the response for an unknown job. */
  static Response notFound() {
    return Response.of(404, MessagePack.map().put("error", "no such job"));
  }

  /** Returns a 503 response if this controller cannot answer at present. */
  static Response unavailable(String reason) {
    return Response.unavailable(RETRY_AFTER, reason);
  }

  /**
   * Returns the response if the key-value store does not answer, or if no read that began after the
   * request is available.
   */
  static Response storeUnavailable() {
    return unavailable("state service");
  }
}
