package io.pearscale.scheduler.model;

import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.MachineType;

/**
 * An amount of processors, GPUs and memory, such as what is available on a machine. Mutable:
 * whoever holds a copy books tasks on it. Amounts may become negative where more is booked than
 * there is.
 */
public final class Resources {
  /** Amounts are sums of fractions: so much too little still counts as enough. */
  public static final double TOLERANCE = 1e-6;

  /** An upper bound for the tasks counted where a task needs next to nothing. */
  private static final double MAX_COUNT = 100_000;

  private double cpus;
  private double gpus;
  private double memoryGb;

  /** Holds so many processors, GPUs and gigabytes of memory. */
  public Resources(double cpus, double gpus, double memoryGb) {
    this.cpus = cpus;
    this.gpus = gpus;
    this.memoryGb = memoryGb;
  }

  /** All that a machine of the type has. */
  public static Resources of(MachineType type) {
    return new Resources(type.cpus(), type.gpus(), type.memoryGb());
  }

  /** The same amounts, to be changed independently. */
  public Resources copy() {
    return new Resources(cpus, gpus, memoryGb);
  }

  /** Processors. */
  public double cpus() {
    return cpus;
  }

  /** GPUs. */
  public double gpus() {
    return gpus;
  }

  /** Memory in gigabytes. */
  public double memoryGb() {
    return memoryGb;
  }

  /** Books one task of the job. */
  public void subtract(JobSpec spec) {
    cpus -= spec.cpus();
    gpus -= spec.gpus();
    memoryGb -= spec.memoryGb();
  }

  /** Releases one task of the job. */
  public void add(JobSpec spec) {
    cpus += spec.cpus();
    gpus += spec.gpus();
    memoryGb += spec.memoryGb();
  }

  /** Whether one task of the job fits. */
  public boolean fits(JobSpec spec) {
    return cpus + TOLERANCE >= spec.cpus()
        && gpus + TOLERANCE >= spec.gpus()
        && memoryGb + TOLERANCE >= spec.memoryGb();
  }

  /** How many tasks of the job fit; 0 or more. */
  public int countFitting(JobSpec spec) {
    double count = MAX_COUNT;
    if (spec.cpus() > 0) {
      count = Math.min(count, (cpus + TOLERANCE) / spec.cpus());
    }
    if (spec.gpus() > 0) {
      count = Math.min(count, (gpus + TOLERANCE) / spec.gpus());
    }
    if (spec.memoryGb() > 0) {
      count = Math.min(count, (memoryGb + TOLERANCE) / spec.memoryGb());
    }
    return (int) Math.max(0, count);
  }
}
