package io.pearscale.scheduler.placement;

import io.pearscale.scheduler.model.Machine;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Machines in an order that is shuffled once per pass. Each scan starts at its own random position.
 * Candidates for scale-in and machines with a planned drain come last, so that they become empty.
 */
final class RandomizedMachineScan {
  private final RandomGenerator random;
  private final List<Machine> preferred = new ArrayList<>();
  private final List<Machine> deprioritized = new ArrayList<>();

  RandomizedMachineScan(Collection<Machine> machines, RandomGenerator random) {
    this.random = random;
    for (Machine machine : machines) {
      boolean isPreferred =
          machine.cloud().scaleInCandidateSince().equals(Instant.MAX) && !machine.isDrainPlanned();
      (isPreferred ? preferred : deprioritized).add(machine);
    }
    shuffle(preferred);
    shuffle(deprioritized);
  }

  private void shuffle(List<Machine> list) {
    for (int i = list.size() - 1; i > 0; i--) {
      Collections.swap(list, i, random.nextInt(i + 1));
    }
  }

  int size() {
    return preferred.size() + deprioritized.size();
  }

  /** Returns a random start position for a scan. */
  int randomStart() {
    return preferred.isEmpty() ? 0 : random.nextInt(preferred.size());
  }

  /** Returns the machine at an index of the scan that starts at the given position. */
  Machine get(int start, int index) {
    return index < preferred.size()
        ? preferred.get((start + index) % preferred.size())
        : deprioritized.get(index - preferred.size());
  }
}
