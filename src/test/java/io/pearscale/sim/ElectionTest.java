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

/** An election whose news come late, and what peers say meanwhile. */
class ElectionTest extends SimulatedEventLoop implements HttpClient, ElectionListener {
  private final List<String> told = new ArrayList<>();
  private boolean holdCommits;
  private Runnable held = () -> {};

  /** The state service answers nobody. */
  private boolean out;

  private final List<Long> questions = new ArrayList<>();

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
    assertEquals(List.of("won 1"), told);
    election.tell(new ElectionActor.LeaderAnnounced("hive-2", 1, Optional.of("hive-0")));
    play(10);
    assertEquals(List.of("won 1", "acknowledged"), told);
  }

  @Test
  void whoKnowsOfANewerTermDoesNotLeadInAnOlderOne() {
    ElectionActor election = election();
    holdCommits = true;
    election.tell(new ElectionActor.Loaded(Map.of()));
    play(500);
    election.tell(new ElectionActor.LeaderAnnounced("hive-1", 2, Optional.of("hive-1")));
    play(10);
    held.run();
    play(10);
    assertEquals(List.of(), told);
  }

  /** One that leads and asks its peers, since the state service answers nobody any more. */
  private ElectionActor leaderWithoutStateService() {
    ElectionActor election = election();
    election.tell(new ElectionActor.Loaded(Map.of()));
    play(500);
    out = true;
    play(2500);
    told.clear();
    return election;
  }

  private void word(ElectionActor election, String peer, long question, String... cancelled) {
    election.tell(
        new ElectionActor.PeerConfirmed(peer, question, 1, List.of(cancelled), Optional.empty()));
    play(1);
  }

  @Test
  void onlyAllWordsToOneQuestionExtendTheProof() {
    ElectionActor election = leaderWithoutStateService();
    int last = questions.size() - 1;
    assertTrue(last >= 1, "the leader asked " + questions.size() + " times");
    long before = questions.get(last - 1);
    long question = questions.get(last);
    word(election, "hive-0", before);
    word(election, "hive-1", before, "wk-old");
    word(election, "hive-2", before);
    word(election, "hive-0", question);
    word(election, "hive-1", question, "wk-1");
    assertEquals(List.of(), told, "hive-2 has not answered this question");
    word(election, "hive-2", question, "wk-2");
    assertEquals(List.of("vouched [wk-1, wk-2]"), told);
  }

  @Test
  void aWordOfANewerTermDeposes() {
    ElectionActor election = leaderWithoutStateService();
    long question = questions.get(questions.size() - 1);
    word(election, "hive-0", question);
    word(election, "hive-1", question);
    election.tell(
        new ElectionActor.PeerConfirmed("hive-2", question, 2, List.of(), Optional.empty()));
    play(1);
    assertEquals(List.of("lost 1"), told);
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
      world.store.serve(
          "hive-0", method, path, body, r -> held = () -> execute(() -> answer.accept(r)));
    } else {
      world.store.serve("hive-0", method, path, body, r -> execute(() -> answer.accept(r)));
    }
  }

  @Override
  public void elected(long term, long termStamp, Instant evidence) {
    told.add("won " + term);
  }

  @Override
  public void leadershipProven(Instant evidence) {}

  @Override
  public void confirmedByPeers(Instant evidence, Set<String> cancelled, List<LiveJobs> live) {
    told.add("vouched " + new TreeSet<>(cancelled));
  }

  @Override
  public void electionAcknowledged() {
    told.add("acknowledged");
  }

  @Override
  public void requestConfirmations(long nonce) {
    questions.add(nonce);
  }

  @Override
  public void leadershipLost(long term) {
    told.add("lost " + term);
  }

  @Override
  public void leaderChanged(long term, Optional<String> name) {}
}
