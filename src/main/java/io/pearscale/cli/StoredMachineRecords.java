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

/** Reads the stored machine records of both layouts. */
final class StoredMachineRecords {
  private StoredMachineRecords() {}

  /** Returns one record for each machine. */
  static Collection<MachineRecordCodec.MachineRecord> read(KeyValueStoreSession session)
      throws IOException, MalformedMessageException {
    Map<String, MachineRecordCodec.MachineRecord> byMachine = new LinkedHashMap<>();
    // The layout that is written now comes first: its records are newer than the other layout's.
    for (RecordLayout layout : layouts(session)) {
      for (StoredValue value : session.list(layout.machinePrefix()).values()) {
        for (MachineRecordCodec.MachineRecord machineRecord :
            MachineRecordCodec.decode(value.value())) {
          byMachine.putIfAbsent(machineRecord.machine(), machineRecord);
        }
      }
    }
    return byMachine.values();
  }

  /** Returns both layouts, the one that is written now first. */
  static List<RecordLayout> layouts(KeyValueStoreSession session)
      throws IOException, MalformedMessageException {
    Optional<StoredValue> storedLevel = session.read(Keys.LEVEL);
    SchemaLevel schemaLevel = SchemaLevel.fromStored(storedLevel.map(StoredValue::value));
    RecordLayout written = RecordLayout.ofLevel(schemaLevel.writtenLevel());
    List<RecordLayout> layouts = new ArrayList<>();
    layouts.add(written);
    layouts.add(written.other());
    return layouts;
  }
}
