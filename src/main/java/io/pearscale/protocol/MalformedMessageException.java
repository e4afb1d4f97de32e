package io.pearscale.protocol;

/**
 * Signals that a message violates the protocol and is rejected as a whole. The message text names
 * the invalid field.
 */
public final class MalformedMessageException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates an exception without a stack trace; the text names the invalid field. */
  public MalformedMessageException(String message) {
    super(message, null, false, false);
  }
}
