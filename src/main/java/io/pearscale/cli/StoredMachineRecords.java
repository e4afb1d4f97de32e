package io.pearscale.cli;

import io.pearscale.cli.KeyValueStoreSession.StoredValue;
import io.pearscale.protocol.MalformedMessageException;
import io.pearscale.storage.Keys;
import io.pearscale.storage.MachineRecordCodec;
import io.pearscale.storage.RecordLayout;
import io.pearscale.upgrade.SchemaLevel;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The machines that the records name. */
final class StoredMachineRecords {
  private StoredMachineRecords() {}

  /** All entries of the roster, one a machine. */
  static Collection<MachineRecordCodec.MachineRecord> read(KeyValueStoreSession state)
      throws IOException, MalformedMessageException {
    Map<String, MachineRecordCodec.MachineRecord> byMachine = new LinkedHashMap<>();
    // What is written now is newer than what the other layout says of the same machine.
    for (RecordLayout layout : layouts(state)) {
      for (StoredValue value : state.list(layout.machinePrefix()).values()) {
        for (MachineRecordCodec.MachineRecord entry : MachineRecordCodec.decode(value.value())) {
          byMachine.putIfAbsent(entry.machine(), entry);
        }
      }
    }
    return byMachine.values();
  }

  /** Both layouts, first the one that is written. */
  static List<RecordLayout> layouts(KeyValueStoreSession state)
      throws IOException, MalformedMessageException {
    Optional<StoredValue> level = state.read(Keys.LEVEL);
    SchemaLevel inForce = SchemaLevel.fromStored(level.map(StoredValue::value));
    RecordLayout written = RecordLayout.ofLevel(inForce.writtenLevel());
    List<RecordLayout> layouts = new ArrayList<>();
    layouts.add(written);
    layouts.add(written.other());
    return layouts;
  }
}
