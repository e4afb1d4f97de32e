package io.pearscale.scheduler.agents;

import java.util.List;

/** Deletes machines through the provider that provisioned them. */
@FunctionalInterface
public interface MachineDeleter {
  /**
   * Requests the deletion of machines; the result is reported later.
   *
   * @param names the provider's names of the machines, at most as many as one request allows
   */
  void delete(List<String> names);
}
