package io.pearscale.drain;

import inet.ipaddr.AddressStringException;
import inet.ipaddr.HostName;
import inet.ipaddr.IPAddress;
import inet.ipaddr.IPAddressString;
import io.pearscale.protocol.MalformedMessageException;
import java.util.Optional;

/**
 * An IP network such as {@code 10.1.4.0/22}. It selects a group of machines that fail or are moved
 * together.
 */
public final class IpNetwork {
  private final IPAddress block;

  private IpNetwork(IPAddress block) {
    this.block = block;
  }

  /** Parses a network in CIDR notation, and rejects a network with host bits set. */
  public static IpNetwork parse(String text) throws MalformedMessageException {
    try {
      IPAddress address = new IPAddressString(text).toAddress();
      if (!address.isPrefixed() || !address.equals(address.toPrefixBlock())) {
        throw new MalformedMessageException(
            "network " + text + ": expected a form like 10.1.4.0/22");
      }
      return new IpNetwork(address);
    } catch (AddressStringException e) {
      throw new MalformedMessageException("network " + text + ": expected a form like 10.1.4.0/22");
    }
  }

  /**
   * Returns whether the host of an address like {@code 10.1.4.7:9000} lies in the network. Host
   * names are not resolved, so a machine without a numeric address lies in no network.
   */
  public boolean contains(String hostAndPort) {
    return Optional.ofNullable(new HostName(hostAndPort).asAddress())
        .map(block::contains)
        .orElse(false);
  }

  @Override
  public String toString() {
    return block.toCanonicalString();
  }
}
