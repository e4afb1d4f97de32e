package io.pearscale.scheduler.model;

/**
 * The fencing tokens of one machine: the token that commands carry, the highest token that the
 * machine has reported, and what follows from the difference. An agent refuses commands whose token
 * is below the highest that it has seen. So after the leader increments the token and the machine
 * reports the new one, no command with a lower token can be executed.
 *
 * <p>Owned by its {@link Machine}; written while the leader handles heartbeats and commands.
 */
public final class FencingTokens {
  private static final long NO_TOKEN = -1;

  private long first;
  private long current;
  private long observed;
  private long lastResponseToken = NO_TOKEN;
  private String lastResponseController = "";
  private int unacknowledgedResponses;
  private long unknownOutcomeToken = NO_TOKEN;

  /** Returns the token that commands to the machine carry. */
  public long current() {
    return current;
  }

  /** Returns the highest token that the machine has reported, or 0 if it has reported none. */
  public long observed() {
    return observed;
  }

  /**
   * Returns how many consecutive heartbeats reported a lower token than the preceding response
   * carried; 0 if the last heartbeat did not.
   */
  public int unacknowledgedResponses() {
    return unacknowledgedResponses;
  }

  /** Sets the leader's first token for the machine in this term. */
  void initialize(long firstToken) {
    first = firstToken;
    current = firstToken;
  }

  /** Returns how often the token was incremented in this term. */
  long increments() {
    return current - first;
  }

  /**
   * Returns the current token, incremented first if it is not above the given one. Once the machine
   * reports the result, it executes no command with the given token: neither one in flight nor a
   * late copy of one that it has executed and answered.
   */
  public long raiseAbove(long token) {
    if (current <= token) {
      current++;
    }
    return current;
  }

  /** Records a token that a message from the machine reports. */
  void observe(long token) {
    observed = Math.max(observed, token);
  }

  /**
   * Records that the outcome of a command with the given token is unknown: it may have been
   * executed, or may be executed until the machine reports a higher token. Increments the token if
   * the machine could not report a higher one otherwise.
   */
  public void commandOutcomeUnknown(long token) {
    unknownOutcomeToken = Math.max(unknownOutcomeToken, token);
    raiseAbove(token);
  }

  /**
   * Returns whether a command of unknown outcome may still be executed. It says nothing about
   * commands that were answered: a late copy of one is executed as well until the machine has seen
   * a higher token, so no attempt is taken for absent, and none is forgotten, on this ground.
   */
  public boolean isCommandOutcomeUnknown() {
    return unknownOutcomeToken >= observed;
  }

  /** Records that a heartbeat was answered with the given token through the given controller. */
  public void responseSent(long token, String controller) {
    lastResponseController = controller;
    lastResponseToken = token;
  }

  /**
   * Checks whether a heartbeat acknowledges the last response, given the token that it reports and
   * the controller that received it. Two symptoms show that heartbeats arrive while responses and
   * commands do not: the machine reports an older token than the last response carried, or it
   * switches to another controller although it was answered, as agents do when no response arrives.
   * The second symptom is not conclusive, so the token is incremented, and the next heartbeat
   * acknowledges a response only if it reports the new token.
   *
   * @return whether the machine has received the last response
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
    raiseAbove(token);
    return false;
  }
}
