package io.pearscale.drain;

import io.pearscale.protocol.MalformedMessageException;
import java.util.Set;
import java.util.TreeSet;

/** Which machines a drain is asked for. */
public sealed interface MachineSelector {
  /** Whether the machine is meant. */
  boolean matches(MachineAttributes machine);

  /** What is known of a machine from its record. */
  record MachineAttributes(String name, String zone, String type, String address) {}

  /** Machines of these names. */
  record Names(Set<String> names) implements MachineSelector {
    @Override
    public boolean matches(MachineAttributes machine) {
      return names.contains(machine.name());
    }

    @Override
    public String toString() {
      return "machines " + String.join(",", new TreeSet<>(names));
    }
  }

  /** All machines of a zone. */
  record Zone(String zone) implements MachineSelector {
    @Override
    public boolean matches(MachineAttributes machine) {
      return zone.equals(machine.zone());
    }

    @Override
    public String toString() {
      return "zone " + zone;
    }
  }

  /** All machines of a type. */
  record Type(String type) implements MachineSelector {
    @Override
    public boolean matches(MachineAttributes machine) {
      return type.equals(machine.type());
    }

    @Override
    public String toString() {
      return "type " + type;
    }
  }

  /** All machines whose address lies in a network. */
  record Network(IpNetwork network) implements MachineSelector {
    /** Reads the network. */
    public static Network parse(String text) throws MalformedMessageException {
      return new Network(IpNetwork.parse(text));
    }

    @Override
    public boolean matches(MachineAttributes machine) {
      return network.contains(machine.address());
    }

    @Override
    public String toString() {
      return "network " + network;
    }
  }

  /** All machines. */
  record All() implements MachineSelector {
    @Override
    public boolean matches(MachineAttributes machine) {
      return true;
    }

    @Override
    public String toString() {
      return "all machines";
    }
  }
}
