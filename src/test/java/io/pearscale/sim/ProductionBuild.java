package io.pearscale.sim;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import javax.tools.ToolProvider;

/**
 * Compiles the production version from the repository's history, at the commit that {@code
 * deploy/service.toml} names.
 */
final class ProductionBuild {
  private static final Path SERVICE_FILE = Path.of("deploy", "service.toml");
  private static final Pattern COMMIT_PATTERN = Pattern.compile("production = \"([0-9a-f]{40})\"");
  private static final String MAIN_SOURCES = "src/main";
  private static final long TIMEOUT_SECONDS = 60;

  private ProductionBuild() {}

  /** Returns whether the commit exists; it does not in a copy of the sources without history. */
  static boolean hasHistory() throws Exception {
    return exitValue("git", "cat-file", "-e", commit() + "^{commit}") == 0;
  }

  /**
   * Compiles the production version with the libraries of this build.
   *
   * @param folder the directory for its sources and classes
   * @return the class path to run it
   */
  static String classPath(Path folder) throws Exception {
    Path archive = folder.resolve("sources.tar");
    run("git", "archive", "--output", archive.toString(), commit(), MAIN_SOURCES);
    run("tar", "-xf", archive.toString(), "-C", folder.toString());
    Path classes = Files.createDirectories(folder.resolve("classes"));
    List<String> arguments = new ArrayList<>(List.of("-d", classes.toString(), "-nowarn"));
    arguments.addAll(List.of("-proc:none", "-cp", libraries()));
    try (Stream<Path> files = Files.walk(folder.resolve(MAIN_SOURCES))) {
      files.map(Path::toString).filter(name -> name.endsWith(".java")).forEach(arguments::add);
    }
    int result =
        ToolProvider.getSystemJavaCompiler()
            .run(null, null, null, arguments.toArray(new String[0]));
    if (result != 0) {
      throw new IOException(
          "the production version does not compile with the libraries of this build");
    }
    return classes
        + File.pathSeparator
        + folder.resolve(MAIN_SOURCES).resolve("resources")
        + File.pathSeparator
        + libraries();
  }

  private static String commit() {
    try {
      Matcher matcher = COMMIT_PATTERN.matcher(Files.readString(SERVICE_FILE));
      if (!matcher.find()) {
        throw new IllegalStateException(
            SERVICE_FILE + " has no line production = \"<40-digit commit>\"");
      }
      return matcher.group(1);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the class path of this build without its own classes. */
  private static String libraries() {
    String[] entries = System.getProperty("java.class.path").split(File.pathSeparator);
    return String.join(
        File.pathSeparator,
        Arrays.stream(entries).filter(entry -> entry.endsWith(".jar")).toList());
  }

  private static void run(String... command) throws Exception {
    if (exitValue(command) != 0) {
      throw new IOException(String.join(" ", command) + " exited with an error");
    }
  }

  private static int exitValue(String... command) throws Exception {
    Process process = new ProcessBuilder(command).inheritIO().start();
    if (!process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
      throw new IOException(String.join(" ", command) + " did not exit in time");
    }
    return process.exitValue();
  }
}
