import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What runs where, by what the machines do. */
final class Checker {
  private record Place(String machine, long attempt) {}

  private final Record record;
  private final Map<String, List<Place>> places = new LinkedHashMap<>();
  private final Set<String> done = new HashSet<>();
  private final List<String> ranTwice = new ArrayList<>();
  private int starts;

  Checker(Record record) {
    this.record = record;
  }

  synchronized void started(String piece, String machine, String yard, long attempt) {
    starts++;
    List<Place> now = places.computeIfAbsent(piece, p -> new ArrayList<>());
    record.line("RUNS " + piece + " try " + attempt + " on " + machine + " in " + yard);
    for (Place other : now) {
      if (!other.machine.equals(machine)) {
        String broken =
            piece + " starts on " + machine + " (try " + attempt + ") while it is on "
                + other.machine + " (try " + other.attempt + ")";
        ranTwice.add(broken);
        record.line("BROKEN ran_twice: " + broken);
      }
    }
    now.add(new Place(machine, attempt));
  }

  synchronized void left(String piece, String machine, long attempt, String why) {
    places.getOrDefault(piece, new ArrayList<>()).remove(new Place(machine, attempt));
    record.line("LEAVES " + piece + " try " + attempt + " on " + machine + ": " + why);
  }

  synchronized void done(String piece) {
    done.add(piece);
  }

  synchronized boolean isDone(String piece) {
    return done.contains(piece);
  }

  synchronized int doneCount() {
    return done.size();
  }

  synchronized List<String> ranTwice() {
    return List.copyOf(ranTwice);
  }

  synchronized int starts() {
    return starts;
  }

  /** Returns how many tasks are on the machine. */
  synchronized int on(String machine) {
    int count = 0;
    for (List<Place> now : places.values()) {
      for (Place place : now) {
        count += place.machine.equals(machine) ? 1 : 0;
      }
    }
    return count;
  }
}
