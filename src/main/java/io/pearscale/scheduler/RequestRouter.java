package io.pearscale.scheduler;

import io.pearscale.api.ApiActor;
import io.pearscale.coordination.HeartbeatRelayActor;
import io.pearscale.protocol.Heartbeat;
import io.pearscale.protocol.HeartbeatDecoder;
import io.pearscale.protocol.HeartbeatResponse;
import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.transport.Body;
import io.pearscale.transport.HttpServer.Response;
import io.pearscale.transport.MessagePack;
import io.pearscale.upgrade.LevelGate;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Routes HTTP requests of users, agents and the load balancer to the actors. */
final class RequestRouter {
  /** HTTP path to which agents send heartbeats. */
  static final String HEARTBEAT_PATH = "/checkin";

  private static final String HEALTH_PATH = "/up";
  private static final String JOBS_PATH = "/work";
  private static final String JOB_PREFIX = "/work/";
  private static final String CANCEL_SUFFIX = "/cancel";

  /** Retry delay for the load balancer if this controller should not serve users. */
  private static final Duration UNHEALTHY_RETRY_AFTER = Duration.ofSeconds(1);

  /** Retry delay for users whose request was refused because the actor's queue is full. */
  private static final Duration BUSY_RETRY_AFTER = Duration.ofSeconds(2);

  /**
   * Retry delay for users whose request was refused because this build does not support the stored
   * schema level.
   */
  private static final Duration INCOMPATIBLE_RETRY_AFTER = Duration.ofSeconds(5);

  private static final Logger LOG = LoggerFactory.getLogger(RequestRouter.class);

  private final ControllerActors actors;
  private final ControllerHealth health;
  private final LevelGate levelGate;

  RequestRouter(ControllerActors actors, ControllerHealth health, LevelGate levelGate) {
    this.actors = actors;
    this.health = health;
    this.levelGate = levelGate;
  }

  /** Handles a request and responds exactly once, possibly asynchronously. */
  void handle(String method, String path, Body body, Consumer<Response> respond) {
    if (path.equals(HEALTH_PATH) && method.equals("GET")) {
      respond.accept(healthCheck());
    } else if (path.equals(HEARTBEAT_PATH) && method.equals("POST")) {
      heartbeat(body, respond);
    } else if (path.equals(JOBS_PATH) && method.equals("POST")) {
      forwardToApi(new ApiActor.Submit(body.tree(), respond), respond);
    } else if (path.startsWith(JOB_PREFIX) && method.equals("GET")) {
      forwardToApi(new ApiActor.Query(path.substring(JOB_PREFIX.length()), respond), respond);
    } else if (path.startsWith(JOB_PREFIX)
        && path.endsWith(CANCEL_SUFFIX)
        && method.equals("POST")) {
      String jobId = path.substring(JOB_PREFIX.length(), path.length() - CANCEL_SUFFIX.length());
      forwardToApi(new ApiActor.Cancel(jobId, respond), respond);
    } else {
      respond.accept(error(404, "no such page"));
    }
  }

  private Response healthCheck() {
    return health.shouldServeUsers()
        ? Response.of(200, MessagePack.map().put("ok", true))
        : Response.unavailable(UNHEALTHY_RETRY_AFTER, "not ready");
  }

  private void forwardToApi(ApiActor.Message message, Consumer<Response> respond) {
    Optional<String> objection = levelGate.incompatibility();
    if (objection.isPresent()) {
      respond.accept(Response.unavailable(INCOMPATIBLE_RETRY_AFTER, objection.get()));
    } else if (!actors.api().offer(message)) {
      respond.accept(Response.unavailable(BUSY_RETRY_AFTER, "busy"));
    }
  }

  private void heartbeat(Body body, Consumer<Response> respond) {
    Heartbeat heartbeat;
    try {
      heartbeat = HeartbeatDecoder.decode(body.bytes());
    } catch (MalformedMessageException e) {
      LOG.warn("event=heartbeat_malformed reason={}", e.getMessage());
      respond.accept(error(400, e.getMessage()));
      return;
    }
    boolean accepted =
        actors
            .relay()
            .offer(
                new HeartbeatRelayActor.HeartbeatReceived(
                    heartbeat,
                    (response, leader) -> respond.accept(agentResponse(response, leader))));
    if (!accepted) {
      respond.accept(error(503, "busy"));
    }
  }

  /**
   * Returns the HTTP response to an agent.
   *
   * @param leader the controller that the agent should contact instead, if there is one
   */
  private static Response agentResponse(HeartbeatResponse response, Optional<String> leader) {
    if (response.status() == 200) {
      return Response.of(200, response.encode());
    }
    return leader
        .map(host -> Response.of(421, MessagePack.map().put("foreman", host)))
        .orElseGet(() -> error(503, "no leader"));
  }

  private static Response error(int status, String reason) {
    return Response.of(status, MessagePack.map().put("error", reason));
  }
}
