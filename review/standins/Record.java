import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: what was sent, answered and run, with seconds since the start. */
final class Record {
  private final long startedAt = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file), true);
  }

  synchronized void line(String text) {
    out.println(String.format(Locale.ROOT, "%8.3f  %s", seconds(), text));
  }

  double seconds() {
    return (System.nanoTime() - startedAt) / 1e9;
  }
}
