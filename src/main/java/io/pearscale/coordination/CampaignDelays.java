package io.pearscale.coordination;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * How long a controller waits before it campaigns. The random part keeps controllers that learn of
 * the same event at the same time from being in each other's way.
 */
final class CampaignDelays {
  /** After a campaign that another controller was quicker with. */
  static final Duration AFTER_CONFLICT = Duration.ofMillis(400);

  /** After the lease of a previous process of this controller was revoked. */
  static final Duration AFTER_REVOCATION = Duration.ofMillis(500);

  /** Exclusive bound of the delay, in milliseconds, once nobody leads. */
  private static final int VACANCY_JITTER_MILLIS = 60;

  /** The least delay after a failure, and the exclusive bound of what is added to it. */
  private static final int FAILURE_MILLIS = 300;

  private static final int FAILURE_JITTER_MILLIS = 400;

  private final RandomGenerator random;

  /** Draws from the generator once for each delay that is asked for. */
  CampaignDelays(RandomGenerator random) {
    this.random = random;
  }

  /** Once the key-value store shows that nobody leads. */
  Duration afterVacancy() {
    return Duration.ofMillis(random.nextInt(VACANCY_JITTER_MILLIS));
  }

  /** After a campaign that got no answer, and after leadership was lost. */
  Duration afterFailure() {
    return Duration.ofMillis(FAILURE_MILLIS + random.nextInt(FAILURE_JITTER_MILLIS));
  }
}
