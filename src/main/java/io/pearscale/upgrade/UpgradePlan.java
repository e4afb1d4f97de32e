package io.pearscale.upgrade;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Decides which upgrade steps are allowed. The plan has no side effects and is based on a snapshot
 * of the cluster; the caller that executes a step makes it conditional on the revisions of the
 * records that were read.
 *
 * @param currentLevel the stored schema level
 * @param controllerNames names of all configured controllers
 * @param supportByController the support records of running controllers, by controller name
 * @param recordsByFeature names of existing records that require a feature, by feature
 */
public record UpgradePlan(
    SchemaLevel currentLevel,
    Set<String> controllerNames,
    Map<String, ControllerSupport> supportByController,
    Map<Feature, List<String>> recordsByFeature) {

  /** The outcome of a requested step. */
  public sealed interface Outcome {}

  /** The step is allowed; the schema level changes to {@code next}. */
  public record LevelChange(SchemaLevel next) implements Outcome {}

  /** There is nothing to do for the given reason. */
  public record NoChange(String reason) implements Outcome {}

  /** The step is not allowed for the given reasons. */
  public record Refusal(List<String> reasons) implements Outcome {}

  /**
   * Raises the level by one, or aborts a rollback that is in progress.
   *
   * @param build levels supported by the operator's build
   * @param confirmedAbsent controllers that the operator confirms to be down
   */
  public Outcome finalise(SupportedLevels build, Set<String> confirmedAbsent) {
    int target = currentLevel.isRollingBack() ? currentLevel.level() : currentLevel.level() + 1;
    if (target > build.highest()) {
      return currentLevel.migrated()
          ? new NoChange(
              "level " + currentLevel.level() + " is the highest that this build supports")
          : new NoChange(
              "level " + currentLevel.level() + " is in force, its records are migrated");
    }
    List<String> reasons = findBlockers(target, confirmedAbsent);
    if (!currentLevel.isRollingBack() && !currentLevel.migrated()) {
      reasons.add("the records of level " + currentLevel.level() + " are still migrated");
    }
    if (!reasons.isEmpty()) {
      return new Refusal(reasons);
    }
    return new LevelChange(
        currentLevel.isRollingBack() ? currentLevel.resumed() : currentLevel.upgradedTo(target));
  }

  /**
   * Raises the level automatically, in one step to the highest level that all controllers support,
   * once each controller has announced its support. After a rollback by an operator, the level is
   * not raised automatically.
   *
   * @param build levels supported by the leader's build
   */
  public Outcome automaticUpgrade(SupportedLevels build) {
    if (currentLevel.pinned()) {
      return new NoChange("an operator has taken a step back");
    }
    int target = build.highest();
    for (ControllerSupport support : supportByController.values()) {
      target = Math.min(target, support.levels().highest());
    }
    if (target <= currentLevel.level() || !currentLevel.migrated()) {
      return new NoChange("level " + currentLevel.level() + " stays in force");
    }
    List<String> reasons = findBlockers(target, Set.of());
    return reasons.isEmpty()
        ? new LevelChange(currentLevel.upgradedTo(target))
        : new Refusal(reasons);
  }

  /**
   * Rolls back the last step: records are migrated to the format of the level below.
   *
   * @param build levels supported by the operator's build
   */
  public Outcome rollback(SupportedLevels build) {
    if (currentLevel.level() == 0) {
      return new NoChange("level 0 is in force, there is nothing to take back");
    }
    if (currentLevel.isRollingBack()) {
      return new NoChange(
          "the records are already written in the forms of " + currentLevel.writtenLevel());
    }
    int target = currentLevel.level() - 1;
    List<String> reasons = new ArrayList<>();
    if (!build.contains(target) || !build.contains(currentLevel.level())) {
      reasons.add("this build supports " + build);
    }
    supportByController.forEach(
        (controllerName, support) -> {
          if (!support.levels().contains(target)) {
            reasons.add(controllerName + " supports " + support.levels() + ", not level " + target);
          }
        });
    recordsByFeature.forEach(
        (feature, records) -> {
          if (target < feature.requiredLevel() && !records.isEmpty()) {
            reasons.add(
                "level " + target + " " + feature.limitation() + String.join(", ", records));
          }
        });
    return reasons.isEmpty() ? new LevelChange(currentLevel.rollingBack()) : new Refusal(reasons);
  }

  /** Returns what prevents raising the level; empty if all controllers support the target. */
  private List<String> findBlockers(int target, Set<String> confirmedAbsent) {
    List<String> reasons = new ArrayList<>();
    for (String controllerName : new TreeSet<>(controllerNames)) {
      ControllerSupport support = supportByController.get(controllerName);
      if (support == null && !confirmedAbsent.contains(controllerName)) {
        reasons.add(
            controllerName
                + " was not seen: it is away, or its build does not say what it supports");
      } else if (support != null && !support.levels().contains(target)) {
        reasons.add(controllerName + " supports " + support.levels() + ", not level " + target);
      }
    }
    for (String controllerName : new TreeSet<>(confirmedAbsent)) {
      if (!controllerNames.contains(controllerName)) {
        reasons.add(controllerName + " is no controller of this cluster");
      } else if (supportByController.containsKey(controllerName)) {
        reasons.add(controllerName + " is not away");
      }
    }
    return reasons;
  }

  /** Returns a description of the operator's next step, for display. */
  public String nextStep(SupportedLevels build) {
    if (currentLevel.isRollingBack()) {
      return "wait until level " + currentLevel.writtenLevel() + " is in force, or finalise again";
    }
    if (!currentLevel.migrated()) {
      return "wait until all records are at level " + currentLevel.level();
    }
    Outcome outcome = finalise(build, Set.of());
    if (outcome instanceof LevelChange change) {
      return "finalise level " + change.next().level();
    }
    return outcome instanceof Refusal refusal
        ? "mend what holds level %d up: %s"
            .formatted(currentLevel.level() + 1, String.join("; ", refusal.reasons()))
        : "none";
  }
}
