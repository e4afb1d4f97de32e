package io.pearscale.drain;

import io.pearscale.protocol.MalformedMessageException;
import java.util.Set;
import java.util.TreeSet;

/** Selects the machines of a drain. */
public sealed interface MachineSelector {
  /** Returns whether the machine is selected. */
  boolean matches(MachineAttributes machine);

  /** The attributes of a machine in its stored record; the address is empty if unknown. */
  record MachineAttributes(String name, String zone, String type, String address) {}

  /** Selects machines by name. */
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

  /** Selects all machines of a zone. */
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

  /** Selects all machines of a type. */
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

  /** Selects all machines whose address lies in a network. */
  record Network(IpNetwork network) implements MachineSelector {
    /** Parses a network in CIDR notation. */
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

  /** Selects all machines. */
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
