package io.pearscale.coordination;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Delays before a controller campaigns. The random part makes it unlikely that controllers that
 * learn of the same event at the same time campaign simultaneously and conflict.
 */
final class CampaignDelays {
  /** Delay after a campaign that failed because another controller was elected first. */
  static final Duration AFTER_CONFLICT = Duration.ofMillis(400);

  /** Delay after revoking the lease of a previous process of this controller. */
  static final Duration AFTER_REVOCATION = Duration.ofMillis(500);

  /** Exclusive upper bound of the delay after a vacancy, in milliseconds. */
  private static final int VACANCY_JITTER_MILLIS = 60;

  /**
   * Minimum delay after a failure, in milliseconds. The random part that is added to it has {@link
   * #FAILURE_JITTER_MILLIS} as its exclusive upper bound.
   */
  private static final int FAILURE_MILLIS = 300;

  private static final int FAILURE_JITTER_MILLIS = 400;

  private final RandomGenerator random;

  /**
   * Creates the delays. Each call of {@link #afterVacancy} or {@link #afterFailure} draws one
   * number from the generator.
   */
  CampaignDelays(RandomGenerator random) {
    this.random = random;
  }

  /** Returns the delay after the key-value store shows that there is no leader. */
  Duration afterVacancy() {
    return Duration.ofMillis(random.nextInt(VACANCY_JITTER_MILLIS));
  }

  /** Returns the delay after a campaign without a reply and after the loss of leadership. */
  Duration afterFailure() {
    return Duration.ofMillis(FAILURE_MILLIS + random.nextInt(FAILURE_JITTER_MILLIS));
  }
}
