package io.pearscale.scheduler.model;

import io.pearscale.protocol.JobSpec;
import io.pearscale.protocol.MachineType;

/**
 * An amount of CPUs, GPUs and memory, such as the resources available on a machine. Instances are
 * mutable: the owner of a copy subtracts the tasks that it plans. Amounts become negative if more
 * is subtracted than is available.
 */
public final class Resources {
  /**
   * Rounding tolerance: amounts are sums of fractions, so a shortage up to this value still counts
   * as sufficient.
   */
  public static final double TOLERANCE = 1e-6;

  /** An upper bound for the task count if a task requests almost no resources. */
  private static final double MAX_COUNT = 100_000;

  private double cpus;
  private double gpus;
  private double memoryGb;

  /** Creates an amount of CPUs, GPUs and gigabytes of memory. */
  public Resources(double cpus, double gpus, double memoryGb) {
    this.cpus = cpus;
    this.gpus = gpus;
    this.memoryGb = memoryGb;
  }

  /** Returns the total resources of a machine of the type. */
  public static Resources of(MachineType type) {
    return new Resources(type.cpus(), type.gpus(), type.memoryGb());
  }

  /** Returns an independent copy. */
  public Resources copy() {
    return new Resources(cpus, gpus, memoryGb);
  }

  /** Returns the number of CPUs. */
  public double cpus() {
    return cpus;
  }

  /** Returns the number of GPUs. */
  public double gpus() {
    return gpus;
  }

  /** Returns the memory in gigabytes. */
  public double memoryGb() {
    return memoryGb;
  }

  /** Subtracts the resources of one task of the job. */
  public void subtract(JobSpec spec) {
    cpus -= spec.cpus();
    gpus -= spec.gpus();
    memoryGb -= spec.memoryGb();
  }

  /** Adds the resources of one task of the job. */
  public void add(JobSpec spec) {
    cpus += spec.cpus();
    gpus += spec.gpus();
    memoryGb += spec.memoryGb();
  }

  /** Returns whether one task of the job fits. */
  public boolean fits(JobSpec spec) {
    return cpus + TOLERANCE >= spec.cpus()
        && gpus + TOLERANCE >= spec.gpus()
        && memoryGb + TOLERANCE >= spec.memoryGb();
  }

  /** Returns how many tasks of the job fit; 0 or more. */
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
