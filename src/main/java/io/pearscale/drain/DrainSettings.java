package io.pearscale.drain;

import java.util.List;
import java.util.Map;

/** Operators' settings for drains: disruption budgets, and maintenance windows by name. */
public record DrainSettings(
    List<DisruptionBudget> budgets, Map<String, MaintenanceWindow> windows) {}
