package io.pearscale.upgrade;

import java.util.Optional;

/** The release that this build belongs to. */
public final class Release {
  private Release() {}

  /** Its name, for people. */
  public static String name() {
    return Optional.ofNullable(Release.class.getPackage().getImplementationVersion())
        .orElse("(not packaged)");
  }
}
