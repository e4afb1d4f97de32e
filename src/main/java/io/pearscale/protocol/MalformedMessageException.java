package io.pearscale.protocol;

/** A message breaks the protocol; the text says where. It is answered or dropped, never trusted. */
public final class MalformedMessageException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Says which field is wrong. */
  public MalformedMessageException(String message) {
    super(message, null, false, false);
  }
}
