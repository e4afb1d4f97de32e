package io.pearscale.knownred;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * The list of tests that fail because of a known fault which is not repaired yet, read from a file
 * at the project's root. An entry is a block of lines {@code key: value}, blocks are separated by
 * empty lines, and lines that begin with {@code #} are comments.
 */
final class KnownRedList {
  /** The path of this project's list. */
  static final Path FILE = Path.of("KNOWN-RED.txt");

  /** The list is kept short, because a listed fault is repaired before anything else. */
  static final int MAX_ENTRIES = 3;

  private static final Set<String> KEYS = Set.of("test", "command", "seen", "issue");

  /** A class and a method, and the name of one case in brackets if the method has several. */
  private static final Pattern TEST_ID = Pattern.compile("[\\w.$]+#\\w+(\\[.+])?");

  /** A known failure: the test's id, the command that runs it, the failure seen, the open issue. */
  record Entry(String test, String command, String seen, String issue) {}

  private final List<Entry> entries;

  private KnownRedList(List<Entry> entries) {
    this.entries = List.copyOf(entries);
  }

  /** Reads the file; a file that does not exist is an empty list. */
  static KnownRedList read(Path file) throws IOException {
    return Files.exists(file) ? parse(Files.readString(file)) : new KnownRedList(new ArrayList<>());
  }

  /** Parses a list; an {@link IllegalArgumentException} names the invalid entry and the reason. */
  static KnownRedList parse(String text) {
    List<Entry> entries = new ArrayList<>();
    Set<String> tests = new HashSet<>();
    for (String block : text.replaceAll("(?m)^#.*$", "").split("\\n\\s*\\n")) {
      if (!block.isBlank()) {
        Entry entry = parseEntry(block.strip());
        require(tests.add(entry.test), "listed twice: " + entry.test);
        entries.add(entry);
      }
    }
    require(entries.size() <= MAX_ENTRIES, entries.size() + " entries, at most " + MAX_ENTRIES);
    return new KnownRedList(entries);
  }

  private static Entry parseEntry(String block) {
    Map<String, String> values = new HashMap<>();
    for (String line : block.split("\\n")) {
      String[] keyAndValue = line.split(":", 2);
      require(keyAndValue.length == 2, "not 'key: value': " + line);
      values.put(keyAndValue[0].strip(), keyAndValue[1].strip());
    }
    require(values.keySet().equals(KEYS), "the keys must be " + KEYS + ": " + block);
    require(values.values().stream().noneMatch(String::isEmpty), "an empty value: " + block);
    String test = values.get("test");
    require(TEST_ID.matcher(test).matches(), "not a single test: " + test);
    return new Entry(test, values.get("command"), values.get("seen"), values.get("issue"));
  }

  private static void require(boolean condition, String message) {
    if (!condition) {
      throw new IllegalArgumentException("KNOWN-RED.txt: " + message);
    }
  }

  List<Entry> entries() {
    return entries;
  }

  boolean contains(String test) {
    return entries.stream().anyMatch(entry -> entry.test.equals(test));
  }
}
