package io.pearscale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Dependencies between packages point downward. */
class LayersTest {
  private static final Path SOURCES = Path.of("src/main/java/io/pearscale");

  /** The lowest first. */
  private static final List<String> LAYERS =
      List.of(
          "transport",
          "protocol",
          "upgrade",
          "storage",
          "drain",
          "gang",
          "coordination",
          "scheduler",
          "cli");

  private static final Pattern REFERENCE =
      Pattern.compile("(?<![\\w.])io\\.pearscale\\.(\\w+)\\.[\\w.]+");

  @Test
  void dependenciesPointDownward() throws IOException {
    List<String> upward = new ArrayList<>();
    List<Path> files;
    try (Stream<Path> found = Files.walk(SOURCES)) {
      files = found.filter(p -> p.toString().endsWith(".java")).toList();
    }
    assertTrue(files.size() > LAYERS.size(), "sources are missing");
    for (Path file : files) {
      int own = layerOf(SOURCES.relativize(file).getName(0).toString());
      assertTrue(own >= 0, file + " lies in no layer");
      Matcher reference = REFERENCE.matcher(Files.readString(file));
      while (reference.find()) {
        if (layerOf(reference.group(1)) > own) {
          upward.add(file + " uses " + reference.group());
        }
      }
    }
    assertEquals(List.of(), upward);
  }

  /** The users' interface was a part of the scheduler's layer and still counts as one. */
  private static int layerOf(String topPackage) {
    return LAYERS.indexOf(topPackage.equals("api") ? "scheduler" : topPackage);
  }
}
