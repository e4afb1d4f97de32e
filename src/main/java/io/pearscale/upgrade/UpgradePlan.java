package io.pearscale.upgrade;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Decides which steps of an upgrade may be taken. Pure: it knows what was read of the cluster at
 * one moment; whoever carries a step out guards it by the stamps of what was read.
 *
 * @param inForce the level as it is stored
 * @param hosts all configured controllers
 * @param members what the controllers that run say of themselves
 * @param incompatibleRecords what the records say that can be said from a feature's level on only
 */
public record UpgradePlan(
    SchemaLevel inForce,
    Set<String> hosts,
    Map<String, MemberSupport> members,
    Map<Feature, List<String>> incompatibleRecords) {

  /** What comes of a wish. */
  public sealed interface Outcome {}

  /** The level is to become this. */
  public record LevelChange(SchemaLevel next) implements Outcome {}

  /** Nothing is to be done, and why. */
  public record NoChange(String reason) implements Outcome {}

  /** The step must not be taken, and why. */
  public record Refusal(List<String> reasons) implements Outcome {}

  /**
   * Raises the level by one.
   *
   * @param build what the operator's own build supports
   * @param confirmedAbsent controllers that are away, which the operator vouches for
   */
  public Outcome finalise(SupportedLevels build, Set<String> confirmedAbsent) {
    int target = inForce.isRollingBack() ? inForce.level() : inForce.level() + 1;
    if (target > build.highest()) {
      return inForce.migrated()
          ? new NoChange("level " + inForce.level() + " is the highest that this build supports")
          : new NoChange("level " + inForce.level() + " is in force, its records are migrated");
    }
    List<String> reasons = objectionsTo(target, confirmedAbsent);
    if (!inForce.isRollingBack() && !inForce.migrated()) {
      reasons.add("the records of level " + inForce.level() + " are still migrated");
    }
    if (!reasons.isEmpty()) {
      return new Refusal(reasons);
    }
    return new LevelChange(
        inForce.isRollingBack() ? inForce.resumed() : inForce.upgradedTo(target));
  }

  /**
   * Raises the level by itself, in one step to the highest that all controllers support, once each
   * of them has said so. After an operator has taken a step back, none is taken by itself.
   *
   * @param build what the leader's own build supports
   */
  public Outcome automaticUpgrade(SupportedLevels build) {
    if (inForce.pinned()) {
      return new NoChange("an operator has taken a step back");
    }
    int target = build.highest();
    for (MemberSupport member : members.values()) {
      target = Math.min(target, member.levels().highest());
    }
    if (target <= inForce.level() || !inForce.migrated()) {
      return new NoChange("level " + inForce.level() + " stays in force");
    }
    List<String> reasons = objectionsTo(target, Set.of());
    return reasons.isEmpty() ? new LevelChange(inForce.upgradedTo(target)) : new Refusal(reasons);
  }

  /** Takes the last step back: the records get the forms of the level below. */
  public Outcome rollback(SupportedLevels build) {
    if (inForce.level() == 0) {
      return new NoChange("level 0 is in force, there is nothing to take back");
    }
    if (inForce.isRollingBack()) {
      return new NoChange(
          "the records are already written in the forms of " + inForce.writtenLevel());
    }
    int target = inForce.level() - 1;
    List<String> reasons = new ArrayList<>();
    if (!build.contains(target) || !build.contains(inForce.level())) {
      reasons.add("this build supports " + build);
    }
    members.forEach(
        (host, member) -> {
          if (!member.levels().contains(target)) {
            reasons.add(host + " supports " + member.levels() + ", not level " + target);
          }
        });
    incompatibleRecords.forEach(
        (feature, records) -> {
          if (target < feature.requiredLevel() && !records.isEmpty()) {
            reasons.add(
                "level " + target + " " + feature.limitation() + String.join(", ", records));
          }
        });
    return reasons.isEmpty() ? new LevelChange(inForce.rollingBack()) : new Refusal(reasons);
  }

  /** What holds the level up; empty when all controllers support it. */
  private List<String> objectionsTo(int target, Set<String> confirmedAbsent) {
    List<String> reasons = new ArrayList<>();
    for (String host : new TreeSet<>(hosts)) {
      MemberSupport member = members.get(host);
      if (member == null && !confirmedAbsent.contains(host)) {
        reasons.add(host + " was not seen: it is away, or its build does not say what it supports");
      } else if (member != null && !member.levels().contains(target)) {
        reasons.add(host + " supports " + member.levels() + ", not level " + target);
      }
    }
    for (String host : new TreeSet<>(confirmedAbsent)) {
      if (!hosts.contains(host)) {
        reasons.add(host + " is no controller of this cluster");
      } else if (members.containsKey(host)) {
        reasons.add(host + " is not away");
      }
    }
    return reasons;
  }

  /** What an operator does next. */
  public String nextStep(SupportedLevels build) {
    if (inForce.isRollingBack()) {
      return "wait until level " + inForce.writtenLevel() + " is in force, or finalise again";
    }
    if (!inForce.migrated()) {
      return "wait until all records are at level " + inForce.level();
    }
    Outcome outcome = finalise(build, Set.of());
    if (outcome instanceof LevelChange change) {
      return "finalise level " + change.next().level();
    }
    return outcome instanceof Refusal refusal
        ? "mend what holds level %d up: %s"
            .formatted(inForce.level() + 1, String.join("; ", refusal.reasons()))
        : "none";
  }
}
