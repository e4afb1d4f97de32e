package io.pearscale.protocol;

/** A message breaks the protocol; it is refused or dropped as a whole. The text names the field. */
public final class MalformedMessageException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Says which field is wrong. */
  public MalformedMessageException(String message) {
    super(message, null, false, false);
  }
}
