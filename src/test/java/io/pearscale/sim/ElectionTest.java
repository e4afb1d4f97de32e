package io.pearscale.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.pearscale.coordination.ElectionActor;
import io.pearscale.coordination.ElectionListener;
import io.pearscale.coordination.LeaderLeaseRenewer;
import io.pearscale.protocol.PeerMessage.LiveJobs;
import io.pearscale.protocol.Settings;
import io.pearscale.storage.KeyValueStoreClient;
import io.pearscale.transport.HttpClient;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.Test;

/** An election whose result comes late, and what peers announce and confirm meanwhile. */
class ElectionTest extends SimulatedEventLoop implements HttpClient, ElectionListener {
  private final List<String> events = new ArrayList<>();
  private boolean holdCommits;
  private Runnable heldReply = () -> {};

  /** The key-value store answers nobody. */
  private boolean out;

  private final List<Long> nonces = new ArrayList<>();

  private ElectionActor election() {
    for (int i = 0; i < 3; i++) {
      world.controllers.put("hive-" + i, new SimController(world, "hive-" + i));
    }
    Settings settings = world.settings("hive-0");
    return new ElectionActor(
        this,
        new KeyValueStoreClient(this, this, settings),
        new LeaderLeaseRenewer(
            this,
            this,
            new KeyValueStoreClient(this, this, settings),
            settings.leaderLeaseTtl().multipliedBy(2)),
        settings,
        RandomGeneratorFactory.of("L64X128MixRandom").create(1),
        Optional::empty,
        this);
  }

  private void play(long millis) {
    world.playTo(world.elapsed().plusMillis(millis));
  }

  @Test
  void allPeersMustKnowOfTheTerm() {
    ElectionActor election = election();
    election.tell(new ElectionActor.Loaded(Map.of()));
    play(500);
    election.tell(new ElectionActor.LeaderAnnounced("hive-1", 1, Optional.of("hive-0")));
    election.tell(new ElectionActor.LeaderAnnounced("hive-1", 1, Optional.of("hive-0")));
    election.tell(new ElectionActor.LeaderAnnounced("hive-2", 0, Optional.empty()));
    play(10);
    assertEquals(List.of("won 1"), events);
    election.tell(new ElectionActor.LeaderAnnounced("hive-2", 1, Optional.of("hive-0")));
    play(10);
    assertEquals(List.of("won 1", "acknowledged"), events);
  }

  @Test
  void whoKnowsOfANewerTermDoesNotLeadInAnOlderOne() {
    ElectionActor election = election();
    holdCommits = true;
    election.tell(new ElectionActor.Loaded(Map.of()));
    play(500);
    election.tell(new ElectionActor.LeaderAnnounced("hive-1", 2, Optional.of("hive-1")));
    play(10);
    heldReply.run();
    play(10);
    assertEquals(List.of(), events);
  }

  /** One that leads and asks its peers, since the key-value store answers nobody any more. */
  private ElectionActor leaderWithoutStore() {
    ElectionActor election = election();
    election.tell(new ElectionActor.Loaded(Map.of()));
    play(500);
    out = true;
    play(2500);
    events.clear();
    return election;
  }

  private void confirm(ElectionActor election, String peer, long nonce, String... cancelled) {
    election.tell(
        new ElectionActor.PeerConfirmed(peer, nonce, 1, List.of(cancelled), Optional.empty()));
    play(1);
  }

  @Test
  void onlyAllConfirmationsOfOneRequestExtendTheProof() {
    ElectionActor election = leaderWithoutStore();
    int last = nonces.size() - 1;
    assertTrue(last >= 1, "the leader asked " + nonces.size() + " times");
    long before = nonces.get(last - 1);
    long nonce = nonces.get(last);
    confirm(election, "hive-0", before);
    confirm(election, "hive-1", before, "wk-old");
    confirm(election, "hive-2", before);
    confirm(election, "hive-0", nonce);
    confirm(election, "hive-1", nonce, "wk-1");
    assertEquals(List.of(), events, "hive-2 has not answered this request");
    confirm(election, "hive-2", nonce, "wk-2");
    assertEquals(List.of("confirmed [wk-1, wk-2]"), events);
  }

  @Test
  void aConfirmationOfANewerTermDeposes() {
    ElectionActor election = leaderWithoutStore();
    long nonce = nonces.get(nonces.size() - 1);
    confirm(election, "hive-0", nonce);
    confirm(election, "hive-1", nonce);
    election.tell(new ElectionActor.PeerConfirmed("hive-2", nonce, 2, List.of(), Optional.empty()));
    play(1);
    assertEquals(List.of("lost 1"), events);
  }

  @Override
  public void call(
      String address,
      String method,
      String path,
      JsonNode body,
      Duration timeout,
      Consumer<Reply> answer) {
    if (out) {
      schedule(timeout, () -> answer.accept(Reply.NO_RESPONSE));
    } else if (path.equals("/commit") && holdCommits) {
      world.store.handleRequest(
          "hive-0", method, path, body, r -> heldReply = () -> execute(() -> answer.accept(r)));
    } else {
      world.store.handleRequest("hive-0", method, path, body, r -> execute(() -> answer.accept(r)));
    }
  }

  @Override
  public void elected(long term, long termStamp, Instant evidence) {
    events.add("won " + term);
  }

  @Override
  public void leadershipProven(Instant evidence) {}

  @Override
  public void confirmedByPeers(Instant evidence, Set<String> cancelled, List<LiveJobs> live) {
    events.add("confirmed " + new TreeSet<>(cancelled));
  }

  @Override
  public void electionAcknowledged() {
    events.add("acknowledged");
  }

  @Override
  public void requestConfirmations(long nonce) {
    nonces.add(nonce);
  }

  @Override
  public void leadershipLost(long term) {
    events.add("lost " + term);
  }

  @Override
  public void leaderChanged(long term, Optional<String> name) {}
}
