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

/** Tests a late election result, and the announcements and confirmations of peers. */
class ElectionTest extends SimulatedEventLoop implements HttpClient, ElectionListener {
  private final List<String> events = new ArrayList<>();
  private boolean holdCommits;
  private Runnable heldCommitReply = () -> {};

  /** Whether the key-value store answers no request. */
  private boolean storeUnavailable;

  private final List<Long> nonces = new ArrayList<>();

  private ElectionActor createElection() {
    for (int i = 0; i < 3; i++) {
      cluster.controllers.put("hive-" + i, new SimController(cluster, "hive-" + i));
    }
    Settings settings = cluster.settings("hive-0");
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

  private void advance(long millis) {
    cluster.runUntil(cluster.elapsed().plusMillis(millis));
  }

  @Test
  void electionIsAcknowledgedOnceAllPeersKnowTheTerm() {
    ElectionActor election = createElection();
    election.tell(new ElectionActor.ReplicaLoaded(Map.of()));
    advance(500);
    election.tell(new ElectionActor.LeaderAnnounced("hive-1", 1, Optional.of("hive-0")));
    election.tell(new ElectionActor.LeaderAnnounced("hive-1", 1, Optional.of("hive-0")));
    election.tell(new ElectionActor.LeaderAnnounced("hive-2", 0, Optional.empty()));
    advance(10);
    assertEquals(List.of("won 1"), events);
    election.tell(new ElectionActor.LeaderAnnounced("hive-2", 1, Optional.of("hive-0")));
    advance(10);
    assertEquals(List.of("won 1", "acknowledged"), events);
  }

  @Test
  void lateElectionResultIsIgnoredOnceANewerTermIsKnown() {
    ElectionActor election = createElection();
    holdCommits = true;
    election.tell(new ElectionActor.ReplicaLoaded(Map.of()));
    advance(500);
    election.tell(new ElectionActor.LeaderAnnounced("hive-1", 2, Optional.of("hive-1")));
    advance(10);
    heldCommitReply.run();
    advance(10);
    assertEquals(List.of(), events);
  }

  /**
   * Returns a leader that has asked its peers for confirmations because the key-value store no
   * longer answers.
   */
  private ElectionActor leaderWithoutStore() {
    ElectionActor election = createElection();
    election.tell(new ElectionActor.ReplicaLoaded(Map.of()));
    advance(500);
    storeUnavailable = true;
    advance(2500);
    events.clear();
    return election;
  }

  private void confirm(ElectionActor election, String peer, long nonce, String... cancelled) {
    election.tell(
        new ElectionActor.PeerConfirmed(peer, nonce, 1, List.of(cancelled), Optional.empty()));
    advance(1);
  }

  @Test
  void proofIsExtendedOnlyByAllConfirmationsOfOneRequest() {
    ElectionActor election = leaderWithoutStore();
    int last = nonces.size() - 1;
    assertTrue(last >= 1, "the leader asked " + nonces.size() + " times");
    long previousNonce = nonces.get(last - 1);
    long nonce = nonces.get(last);
    confirm(election, "hive-0", previousNonce);
    confirm(election, "hive-1", previousNonce, "wk-old");
    confirm(election, "hive-2", previousNonce);
    confirm(election, "hive-0", nonce);
    confirm(election, "hive-1", nonce, "wk-1");
    assertEquals(List.of(), events, "hive-2 has not answered this request");
    confirm(election, "hive-2", nonce, "wk-2");
    assertEquals(List.of("confirmed [wk-1, wk-2]"), events);
  }

  @Test
  void confirmationWithANewerTermDeposesTheLeader() {
    ElectionActor election = leaderWithoutStore();
    long nonce = nonces.get(nonces.size() - 1);
    confirm(election, "hive-0", nonce);
    confirm(election, "hive-1", nonce);
    election.tell(new ElectionActor.PeerConfirmed("hive-2", nonce, 2, List.of(), Optional.empty()));
    advance(1);
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
    if (storeUnavailable) {
      schedule(timeout, () -> answer.accept(Reply.NO_RESPONSE));
    } else if (path.equals("/commit") && holdCommits) {
      cluster.store.handleRequest(
          "hive-0",
          method,
          path,
          body,
          r -> heldCommitReply = () -> execute(() -> answer.accept(r)));
    } else {
      cluster.store.handleRequest(
          "hive-0", method, path, body, r -> execute(() -> answer.accept(r)));
    }
  }

  @Override
  public void elected(long term, long termRevision, Instant provenAt) {
    events.add("won " + term);
  }

  @Override
  public void leadershipProven(Instant provenAt) {}

  @Override
  public void confirmedByPeers(Instant provenAt, Set<String> cancelled, List<LiveJobs> live) {
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
