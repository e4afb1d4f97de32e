package io.pearscale.transport;

import javax.management.MBeanServer;
import javax.management.MBeanServerBuilder;
import javax.management.MBeanServerDelegate;

/**
 * Keeps the JVM's management interface (JMX) from being set up. Nobody can reach it in a
 * controller, while XNIO registers beans of its own as it starts, for which the JVM first describes
 * all of its beans: a tenth of a second of processor time, a quarter of what the main thread takes
 * for a start. XNIO does without when registering fails.
 */
public final class DisabledMBeanServerBuilder extends MBeanServerBuilder {
  /** Names the builder of management servers to the JVM. */
  private static final String BUILDER_PROPERTY = "javax.management.builder.initial";

  /** Is to be called before XNIO is touched. */
  public static void install() {
    System.setProperty(BUILDER_PROPERTY, DisabledMBeanServerBuilder.class.getName());
  }

  @Override
  public MBeanServer newMBeanServer(
      String defaultDomain, MBeanServer outer, MBeanServerDelegate delegate) {
    throw new UnsupportedOperationException("no management interface");
  }
}
