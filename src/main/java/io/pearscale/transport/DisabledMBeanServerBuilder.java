package io.pearscale.transport;

import javax.management.MBeanServer;
import javax.management.MBeanServerBuilder;
import javax.management.MBeanServerDelegate;

/**
 * Prevents the JVM from setting up its management interface (JMX). A controller exposes no JMX
 * access. XNIO, however, registers beans during its startup, for which the JVM first describes all
 * of its own beans. That takes a tenth of a second of processor time, a quarter of the startup time
 * of the main thread. XNIO continues without its beans if the registration fails.
 */
public final class DisabledMBeanServerBuilder extends MBeanServerBuilder {
  /** The system property that names the MBean server builder of the JVM. */
  private static final String BUILDER_PROPERTY = "javax.management.builder.initial";

  /** Disables JMX. Must be called before any XNIO class is loaded. */
  public static void install() {
    System.setProperty(BUILDER_PROPERTY, DisabledMBeanServerBuilder.class.getName());
  }

  @Override
  public MBeanServer newMBeanServer(
      String defaultDomain, MBeanServer outer, MBeanServerDelegate delegate) {
    throw new UnsupportedOperationException("JMX is disabled in this process");
  }
}
