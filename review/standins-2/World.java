import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** What users have submitted and been told, what runs where, and the record of it all. */
final class World {
  private final PrintWriter record;
  private final long startedAt = System.nanoTime();

  /** Descriptions that users have uploaded, by job. */
  final Map<String, Map<String, Object>> uploaded = new HashMap<>();

  /** When users were told that a job is accepted, cancelled or done, in seconds. */
  final Map<String, Double> accepted = new TreeMap<>();

  final Map<String, Double> cancelled = new TreeMap<>();
  final Map<String, Double> done = new TreeMap<>();

  /** The machines on which a task is: from when it has its image until it has ended. */
  final Map<String, Set<String>> present = new TreeMap<>();

  /** How often a task has begun, and which tasks have completed. */
  final Map<String, Integer> starts = new TreeMap<>();

  final Set<String> completed = new TreeSet<>();

  /** When the report was sent whose answer told a worker to run a task, by attempt. */
  final Map<String, Double> toldInAnswerTo = new TreeMap<>();

  /** When a running task was first told to end, by task and machine. */
  final Map<String, Double> killed = new TreeMap<>();

  /** When a task began last, and where it was done. */
  final Map<String, Double> lastStart = new TreeMap<>();

  final Map<String, String> doneOn = new TreeMap<>();

  /** When a task first began on each machine, by task and machine. */
  private final Map<String, Double> begun = new TreeMap<>();

  /** Broken rules, by name. */
  final List<String> broken = new ArrayList<>();

  World(Path file) throws IOException {
    record = new PrintWriter(Files.newBufferedWriter(file), true);
  }

  double seconds() {
    return (System.nanoTime() - startedAt) / 1e9;
  }

  synchronized void log(String text) {
    record.printf("%8.3f %s%n", seconds(), text);
  }

  synchronized void breaks(String rule, String text) {
    broken.add(rule);
    log("BROKEN " + rule + ": " + text);
  }

  synchronized boolean isBroken(String rule) {
    return broken.contains(rule);
  }

  synchronized Map<String, Object> description(String job) {
    return uploaded.get(job);
  }

  static String jobOf(String piece) {
    return piece.substring(0, piece.indexOf('/'));
  }

  /** A task has its image and begins on a machine. */
  synchronized void begins(String piece, String machine, long attempt) {
    Set<String> on = present.computeIfAbsent(piece, p -> new TreeSet<>());
    log("runs " + piece + " try " + attempt + " on " + machine);
    if (!on.isEmpty()) {
      breaks("ran_twice", piece + " starts on " + machine + " while it is on " + on);
    }
    on.add(machine);
    lastStart.put(piece, seconds());
    begun.putIfAbsent(piece + " on " + machine, seconds());
    starts.merge(piece, 1, Integer::sum);
  }

  /** When a task first began on another machine than the given one; far off if it never did. */
  synchronized double firstStartElsewhere(String piece, String machine) {
    double first = 1e9;
    for (Map.Entry<String, Double> entry : begun.entrySet()) {
      if (entry.getKey().startsWith(piece + " on ") && !entry.getKey().endsWith(" " + machine)) {
        first = Math.min(first, entry.getValue());
      }
    }
    return first;
  }

  /** A task ends on a machine. */
  synchronized void ends(String piece, String machine, String why) {
    Set<String> on = present.get(piece);
    if (on != null && on.remove(machine)) {
      log("ends " + piece + " on " + machine + ": " + why);
      if (why.equals("done")) {
        completed.add(piece);
        doneOn.putIfAbsent(piece, machine);
      }
    }
  }

  /** Tasks of cancelled jobs that are on a machine longer than allowed after the answer. */
  synchronized void checkCancelled(double cancelS) {
    cancelled.forEach(
        (job, at) -> {
          if (seconds() > at + cancelS) {
            present.forEach(
                (piece, on) -> {
                  if (jobOf(piece).equals(job) && !on.isEmpty() && !isBroken("ran_cancelled")) {
                    breaks(
                        "ran_cancelled",
                        "%s is on %s %.1f s after the answer (limit %.1f s)"
                            .formatted(piece, on, seconds() - at, cancelS));
                  }
                });
          }
        });
  }

  synchronized int running(String job) {
    int count = 0;
    for (Map.Entry<String, Set<String>> entry : present.entrySet()) {
      if (jobOf(entry.getKey()).equals(job) && !entry.getValue().isEmpty()) {
        count++;
      }
    }
    return count;
  }
}
