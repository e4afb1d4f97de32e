package io.pearscale.protocol;

import java.util.Arrays;
import java.util.Optional;
import java.util.function.Function;

/** Finds enum constants by the names that they have in messages, stored records and settings. */
public final class EnumNames {
  private EnumNames() {}

  /** Returns the first constant with the given name; empty if there is none. */
  public static <E extends Enum<E>> Optional<E> find(
      E[] constants, Function<E, String> nameOf, String name) {
    return Arrays.stream(constants)
        .filter(constant -> nameOf.apply(constant).equals(name))
        .findFirst();
  }
}
