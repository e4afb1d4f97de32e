package io.pearscale;

import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.Dependency;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.library.dependencies.SliceRule;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that packages depend only on lower layers, in the sources and in the compiled classes. */
class LayersTest {
  private static final String ROOT = "io.pearscale";
  private static final Path SOURCES = Path.of("src/main/java/io/pearscale");

  /** All packages, the lowest layer first. */
  private static final List<String> LAYERS =
      List.of(
          "transport",
          "protocol",
          "upgrade",
          "storage",
          "drain",
          "gang",
          "coordination",
          "scheduler.model",
          "scheduler.records",
          "scheduler.agents",
          "scheduler.placement",
          "scheduler.autoscaling",
          "scheduler.maintenance",
          "api",
          "scheduler",
          "cli");

  /** The only subpackage of the scheduler that {@code api} may depend on. */
  private static final String API_DEPENDENCY = "scheduler.model";

  /**
   * Dependencies on higher layers that are still allowed, each from one class to another. Entries
   * are removed when their dependency is removed, and none may be added.
   */
  private static final Set<String> ALLOWED_VIOLATIONS = Set.of();

  private static final Pattern REFERENCE =
      Pattern.compile("(?<![\\w.])io\\.pearscale\\.([a-z][\\w]*(?:\\.[a-z]\\w*)*)\\.([A-Z]\\w*)");

  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages(ROOT);

  private static int layerIndex(String layer) {
    int index = LAYERS.indexOf(layer);
    assertTrue(index >= 0, layer + " is not a known layer");
    return index;
  }

  private static String layerOf(JavaClass type) {
    return type.getPackageName().substring(ROOT.length() + 1);
  }

  /** Returns the name of the class, or of its top-level class if it is nested. */
  private static String nameOf(JavaClass type) {
    String name = type.getName().substring(type.getPackageName().length() + 1);
    return name.replaceAll("[$].*", "");
  }

  private static void addIfViolation(
      Set<String> violations, String from, String fromClass, String to, String toClass) {
    boolean siblingDependency =
        from.equals("api") && to.startsWith("scheduler.") && !to.equals(API_DEPENDENCY);
    if (layerIndex(to) > layerIndex(from) || siblingDependency) {
      violations.add(from + "." + fromClass + " -> " + to + "." + toClass);
    }
  }

  @Test
  void dependenciesPointDownward() throws IOException {
    Set<String> violations = new TreeSet<>();
    List<Path> files;
    try (Stream<Path> found = Files.walk(SOURCES)) {
      files = found.filter(p -> p.toString().endsWith(".java")).toList();
    }
    assertTrue(files.size() > LAYERS.size(), "expected more source files than layers");
    for (Path file : files) {
      String sourcePackage = SOURCES.relativize(file.getParent()).toString().replace('/', '.');
      String sourceClass = file.getFileName().toString().replace(".java", "");
      Matcher reference = REFERENCE.matcher(Files.readString(file));
      while (reference.find()) {
        addIfViolation(
            violations, sourcePackage, sourceClass, reference.group(1), reference.group(2));
      }
    }
    for (JavaClass type : CLASSES) {
      for (Dependency dependency : type.getDirectDependenciesFromSelf()) {
        JavaClass target = dependency.getTargetClass().getBaseComponentType();
        if (target.getPackageName().startsWith(ROOT + ".")) {
          addIfViolation(violations, layerOf(type), nameOf(type), layerOf(target), nameOf(target));
        }
      }
    }
    assertEquals(
        String.join("\n", new TreeSet<>(ALLOWED_VIOLATIONS)),
        String.join("\n", new TreeSet<>(violations)));
  }

  /** Apart from the allowed violations, packages have no cyclic dependencies. */
  @Test
  void packagesHaveNoCycles() {
    assertTrue(CLASSES.size() > LAYERS.size(), "expected more classes than layers");
    SliceRule rule = slices().matching(ROOT + ".(**)").should().beFreeOfCycles();
    for (String violation : ALLOWED_VIOLATIONS) {
      String[] ends = violation.split(" -> ", 2);
      rule = rule.ignoreDependency(isOrIsIn(ends[0]), isOrIsIn(ends[1]));
    }
    rule.check(CLASSES);
  }

  /** Matches the class of that name and its nested classes. */
  private static DescribedPredicate<JavaClass> isOrIsIn(String name) {
    String fullName = ROOT + "." + name;
    return DescribedPredicate.describe(
        name, type -> type.getName().equals(fullName) || type.getName().startsWith(fullName + "$"));
  }
}
