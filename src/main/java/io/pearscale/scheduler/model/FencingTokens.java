package io.pearscale.scheduler.model;

/**
 * The fencing tokens of one machine: the one that commands carry, the highest that the machine has
 * shown, and what follows from the difference. An agent refuses commands whose token is below the
 * highest that it has seen, so incrementing the token ends all uncertainty about commands that were
 * sent with a lower one, once the machine has shown the new one.
 *
 * <p>Owned by its {@link Machine}; written while the leader handles heartbeats and commands.
 */
public final class FencingTokens {
  private static final long NO_TOKEN = -1;

  private long current;
  private long observed;
  private long lastResponseToken = NO_TOKEN;
  private String lastResponseController = "";
  private int unacknowledgedResponses;
  private long unknownOutcomeToken = NO_TOKEN;

  /** The token that commands to the machine carry. */
  public long current() {
    return current;
  }

  /** The highest token that a message of the machine has shown; 0 while there was none. */
  public long observed() {
    return observed;
  }

  /**
   * How many heartbeats in a row did not show the token of the response before; 0 when the last one
   * did.
   */
  public int unacknowledgedResponses() {
    return unacknowledgedResponses;
  }

  /** The leader's first token for the machine in this term. */
  void initialize(long firstToken) {
    current = firstToken;
  }

  /** From when the machine has shown the next token, no command with an older one is executed. */
  public void increment() {
    current++;
  }

  /** A message of the machine shows the token. */
  void observe(long token) {
    observed = Math.max(observed, token);
  }

  /**
   * A command that carried the token got no answer: it may have been executed, or may be executed
   * later, until the machine has shown a higher token.
   */
  public void commandOutcomeUnknown(long token) {
    unknownOutcomeToken = Math.max(unknownOutcomeToken, token);
    increment();
  }

  /** Whether a command without an answer may still be executed. */
  public boolean isCommandOutcomeUnknown() {
    return unknownOutcomeToken >= observed;
  }

  /** A heartbeat was answered with the present token, through that controller. */
  public void responseSent(String controller) {
    lastResponseController = controller;
    lastResponseToken = current;
  }

  /**
   * Takes in which token a heartbeat shows, and which controller it came to, and says whether the
   * machine has received the last response, as far as that can tell. A machine whose heartbeats
   * arrive while responses and commands don't reach it shows an older token than it was answered
   * with, or turns to another controller although it was answered, as agents do when no answer
   * comes. In the second case a higher token makes sure.
   *
   * @return whether the last response has arrived
   */
  public boolean acknowledgeResponse(long token, String controller) {
    if (token < lastResponseToken) {
      unacknowledgedResponses++;
      return false;
    }
    unacknowledgedResponses = 0;
    if (lastResponseController.isEmpty() || lastResponseController.equals(controller)) {
      return true;
    }
    if (current <= token) {
      increment();
    }
    return false;
  }
}
