package io.pearscale.protocol;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The range of peer record versions that a build supports, both ends included. A controller
 * announces it in the greeting when it connects: {@code pearscale/3}, or {@code pearscale/3-4} for
 * more than one version. Two controllers can connect if their ranges overlap. This build always
 * sends version 3, so a later release must also send version 3 to controllers of this build.
 */
public record PeerVersions(int lowest, int highest) {
  /** The versions that this build supports. */
  public static final PeerVersions SUPPORTED =
      new PeerVersions(PeerMessage.VERSION, PeerMessage.VERSION);

  private static final Pattern GREETING = Pattern.compile("pearscale/(\\d{1,9})(?:-(\\d{1,9}))?");

  /** Parses a greeting; empty if it is malformed. */
  public static Optional<PeerVersions> parse(String greeting) {
    Matcher matcher = GREETING.matcher(greeting);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    int lowest = Integer.parseInt(matcher.group(1));
    int highest = matcher.group(2) == null ? lowest : Integer.parseInt(matcher.group(2));
    return lowest <= highest ? Optional.of(new PeerVersions(lowest, highest)) : Optional.empty();
  }

  /** Returns the greeting that announces this range. */
  public String greeting() {
    return "pearscale/" + (lowest == highest ? "" + lowest : lowest + "-" + highest);
  }

  /** Returns whether both ranges have a version in common. */
  public boolean overlaps(PeerVersions other) {
    return lowest <= other.highest && other.lowest <= highest;
  }

  /** Returns whether the greeting is valid and its range overlaps this one. */
  public boolean accepts(String peerGreeting) {
    return parse(peerGreeting).map(this::overlaps).orElse(false);
  }
}
