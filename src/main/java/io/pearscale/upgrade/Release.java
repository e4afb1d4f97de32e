package io.pearscale.upgrade;

import java.util.Optional;

/** Provides the release name of this build. */
public final class Release {
  private Release() {}

  /** Returns the release name, for display. */
  public static String name() {
    return Optional.ofNullable(Release.class.getPackage().getImplementationVersion())
        .orElse("(not packaged)");
  }
}
