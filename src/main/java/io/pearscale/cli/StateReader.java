package io.pearscale.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.pearscale.protocol.Settings;
import io.pearscale.storage.StateClient;
import io.pearscale.transport.Calls.Reply;
import io.pearscale.transport.HttpCalls;
import io.pearscale.transport.XnioLoop;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.xnio.XnioWorker;

/** Reads keys of the state service one after the other, for a command that ends afterwards. */
final class StateReader implements AutoCloseable {
  private static final int CONNECTIONS = 2;
  private static final int LONGEST_WAIT_SECONDS = 5;

  private final XnioWorker worker;
  private final XnioLoop loop;
  private final StateClient client;
  private final String address;

  StateReader(Settings settings) throws IOException {
    worker = Server.oneThread();
    loop = new XnioLoop(worker.getIoThread());
    HttpCalls calls =
        new HttpCalls(
            loop,
            worker.getIoThread(),
            new DefaultByteBufferPool(false, 8192, CONNECTIONS, 0),
            CONNECTIONS);
    client = new StateClient(loop, calls, settings);
    address = settings.state();
  }

  /** The key's value; empty if there is none. */
  Optional<JsonNode> read(String key) throws IOException {
    CompletableFuture<Reply> answer = new CompletableFuture<>();
    loop.execute(() -> client.read(key, answer::complete));
    Reply reply = await(answer);
    if (reply.status() == 404) {
      return Optional.empty();
    }
    if (!reply.ok()) {
      String said = reply.status() == 0 ? "does not answer" : "answers " + reply.status();
      throw new IOException("the state service at " + address + " " + said);
    }
    return Optional.of(reply.body().path("value"));
  }

  private Reply await(CompletableFuture<Reply> answer) throws IOException {
    try {
      return answer.get(LONGEST_WAIT_SECONDS, TimeUnit.SECONDS);
    } catch (TimeoutException | ExecutionException e) {
      return Reply.NONE;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
  }

  @Override
  public void close() {
    worker.shutdownNow();
  }
}
