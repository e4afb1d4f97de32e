package io.pearscale.drain;

import java.util.List;
import java.util.Map;

/** What operators have set for drains. */
public record DrainSettings(
    List<DisruptionBudget> budgets, Map<String, MaintenanceWindow> windows) {}
