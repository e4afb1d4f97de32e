package io.pearscale.cli;

import io.pearscale.scheduler.model.Tuning;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Reads the scheduler's tuning from an optional file of S-expressions such as {@code (sample 8)}.
 * Unknown entries are ignored.
 */
final class TuningReader {
  /** The valid values of a setting. Its default is in {@link Tuning#defaults}. */
  private record Range(double min, double max) {}

  private static final Map<String, Range> RANGES = new LinkedHashMap<>();

  static {
    RANGES.put("sample", new Range(1, 1000));
    RANGES.put("stranded-weight", new Range(0, 100));
    RANGES.put("same-machine-weight", new Range(0, 100));
    RANGES.put("together-weight", new Range(0, 100));
    RANGES.put("same-zone-weight", new Range(0, 100));
    RANGES.put("zone-balance-weight", new Range(0, 100));
    RANGES.put("image-weight", new Range(0, 100));
    RANGES.put("ordinary-weight", new Range(0, 100));
    RANGES.put("idle-release-s", new Range(1, 86_400));
    RANGES.put("spare-share", new Range(0, 10));
    RANGES.put("headroom-share", new Range(0, 10));
    RANGES.put("spot-risk", new Range(1, 100));
  }

  private TuningReader() {}

  static Tuning read(Optional<Path> file) throws SettingsException {
    Tuning defaults = Tuning.defaults();
    if (file.isEmpty()) {
      return defaults;
    }
    Map<String, Double> values = readValues(file.get());
    return new Tuning(
        (int) (double) values.getOrDefault("sample", (double) defaults.sampleSize()),
        values.getOrDefault("stranded-weight", defaults.strandedWeight()),
        values.getOrDefault("same-machine-weight", defaults.sameMachineWeight()),
        values.getOrDefault("together-weight", defaults.packingWeight()),
        values.getOrDefault("same-zone-weight", defaults.sameZoneWeight()),
        values.getOrDefault("zone-balance-weight", defaults.zoneBalanceWeight()),
        values.getOrDefault("image-weight", defaults.cachedImageWeight()),
        values.getOrDefault("ordinary-weight", defaults.onDemandWeight()),
        Optional.ofNullable(values.get("idle-release-s"))
            .map(s -> Duration.ofMillis((long) (s * 1000)))
            .orElse(defaults.scaleInAfterIdle()),
        values.getOrDefault("spare-share", defaults.reserveShare()),
        values.getOrDefault("headroom-share", defaults.headroomShare()),
        values.getOrDefault("spot-risk", defaults.spotRiskFactor()));
  }

  private static Map<String, Double> readValues(Path file) throws SettingsException {
    Map<String, Double> values = new LinkedHashMap<>();
    try {
      for (List<String> entry : SExpressionReader.read(Files.readString(file))) {
        if (entry.size() != 2) {
          throw new SettingsException(file, "entry", entry.toString(), "a name and a value");
        }
        Range range = RANGES.get(entry.get(0));
        if (range == null) {
          continue;
        }
        String expected = "a number from " + range.min + " to " + range.max;
        try {
          double value = Double.parseDouble(entry.get(1));
          if (!(value >= range.min && value <= range.max)) {
            throw new SettingsException(file, entry.get(0), entry.get(1), expected);
          }
          values.put(entry.get(0), value);
        } catch (NumberFormatException e) {
          throw new SettingsException(file, entry.get(0), entry.get(1), expected);
        }
      }
    } catch (IOException e) {
      throw new SettingsException(file, "file", "nothing readable", "a file of S-expressions");
    } catch (SExpressionReader.SExpressionException e) {
      throw new SettingsException(file, "file", e.getMessage(), "S-expressions");
    }
    return values;
  }
}
