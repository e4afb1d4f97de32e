package io.pearscale.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Builds the heartbeats of a leader script from the words of its statements. */
final class ScriptedHeartbeats {
  /** The number of an attempt that the leader under test has not started. */
  private static final long ATTEMPT_OF_PREVIOUS_LEADER = 7;

  /** The prefix of a token that is given by its offset from the first token of the term. */
  private static final String CURRENT_TOKEN = "current";

  private static final int TOKEN_TERM_SHIFT = 24;

  private final Map<String, Long> attempts = new HashMap<>();

  /** Uses the given attempt number for the task in all later heartbeats. */
  void useAttempt(String task, long attempt) {
    attempts.put(task, attempt);
  }

  /** Returns the zone of a machine, which its name determines. */
  static String zoneOf(String machine) {
    return machine.startsWith("b") ? "b" : "a";
  }

  /** Returns the first fencing token of a term. */
  static long firstTokenOf(long term) {
    return (term << TOKEN_TERM_SHIFT) + 1;
  }

  /**
   * Returns a heartbeat. Words: incarnation, sequence number, fencing token, then tasks such as
   * {@code wk-1/0:running} or {@code wk-1/0:ended:done}. The token is a number, {@code current}, or
   * for example {@code current+2}.
   *
   * @param term the term of the leader under test
   */
  ObjectNode body(long term, String machine, List<String> words) {
    ObjectNode node =
        SimulatedCluster.map()
            .put("hive", machine)
            .put("address", machine)
            .put("breed", "small")
            .put("yard", zoneOf(machine))
            .put("windfall", false)
            .put("stint", Long.parseLong(words.get(0)))
            .put("tally", Long.parseLong(words.get(1)))
            .put("baton", parseToken(term, words.get(2)));
    var list = node.putArray("pieces");
    for (String word : words.subList(3, words.size())) {
      String[] parts = word.split(":");
      ObjectNode task = list.addObject().put("piece", parts[0]).put("stage", parts[1]);
      task.put("try", attempts.getOrDefault(parts[0], ATTEMPT_OF_PREVIOUS_LEADER));
      if (parts.length > 2) {
        task.put("cause", parts[2]);
      }
    }
    return node;
  }

  private static long parseToken(long term, String word) {
    if (!word.startsWith(CURRENT_TOKEN)) {
      return Long.parseLong(word);
    }
    String offset = word.substring(CURRENT_TOKEN.length()).replace("+", "");
    return firstTokenOf(term) + (offset.isEmpty() ? 0 : Long.parseLong(offset));
  }
}
