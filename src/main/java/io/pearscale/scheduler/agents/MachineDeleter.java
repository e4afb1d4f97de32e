package io.pearscale.scheduler.agents;

import java.util.List;

/** Deletes machines at the provider that they were provisioned from. */
@FunctionalInterface
public interface MachineDeleter {
  /**
   * Requests that machines be deleted; whether that succeeded is reported later.
   *
   * @param names names that the provider gave the machines; at most as many as one request takes
   */
  void delete(List<String> names);
}
