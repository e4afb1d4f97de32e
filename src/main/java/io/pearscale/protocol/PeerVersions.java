package io.pearscale.protocol;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The versions of records between controllers that a build understands, both ends included. A
 * controller names them when it connects: {@code pearscale/3}, or {@code pearscale/3-4} for more
 * than one. Two controllers are linked where the ranges overlap; this build sends its one version,
 * and a later release has to send it that one too.
 */
public record PeerVersions(int lowest, int highest) {
  /** What this build understands. */
  public static final PeerVersions SUPPORTED =
      new PeerVersions(PeerMessage.VERSION, PeerMessage.VERSION);

  private static final Pattern GREETING = Pattern.compile("pearscale/(\\d{1,9})(?:-(\\d{1,9}))?");

  /** Reads a greeting; empty for what is none. */
  public static Optional<PeerVersions> parse(String greeting) {
    Matcher matcher = GREETING.matcher(greeting);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    int lowest = Integer.parseInt(matcher.group(1));
    int highest = matcher.group(2) == null ? lowest : Integer.parseInt(matcher.group(2));
    return lowest <= highest ? Optional.of(new PeerVersions(lowest, highest)) : Optional.empty();
  }

  /** How a controller of this build greets another one. */
  public String greeting() {
    return "pearscale/" + (lowest == highest ? "" + lowest : lowest + "-" + highest);
  }

  /** Whether there is a version that both understand. */
  public boolean overlaps(PeerVersions other) {
    return lowest <= other.highest && other.lowest <= highest;
  }

  /** Whether a controller that greets so can be talked to. */
  public boolean accepts(String peerGreeting) {
    return parse(peerGreeting).map(this::overlaps).orElse(false);
  }
}
