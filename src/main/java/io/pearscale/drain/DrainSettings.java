package io.pearscale.drain;

import java.util.List;
import java.util.Map;

/** The operator's settings for drains: disruption budgets, and maintenance windows by name. */
public record DrainSettings(
    List<DisruptionBudget> budgets, Map<String, MaintenanceWindow> windows) {}
