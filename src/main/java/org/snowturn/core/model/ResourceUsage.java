package org.snowturn.core.model;

import org.snowturn.wire.JobSpec;
import org.snowturn.wire.MachineType;

/** The resources of a machine that its tasks use. Nothing fits while its type is unknown. */
final class ResourceUsage {
  /** Tolerance for rounding errors in sums of fractions. */
  private static final double TOLERANCE = 1e-6;

  /** Upper bound of {@link #maxTasksThatFit}, above what any machine can run; means no limit. */
  private static final double MAX_TASKS = 1000;

  private MachineType type;
  private double cpus;
  private double gpus;
  private double memoryGb;

  MachineType type() {
    return type;
  }

  void setType(MachineType newType) {
    type = newType;
  }

  double cpus() {
    return cpus;
  }

  double gpus() {
    return gpus;
  }

  double memoryGb() {
    return memoryGb;
  }

  double cpusFree() {
    return type == null ? 0 : type.cpus() - cpus;
  }

  /** Returns whether one more task of the job fits. */
  boolean hasCapacityFor(JobSpec spec) {
    return type != null
        && cpus + spec.cpus() <= type.cpus() + TOLERANCE
        && gpus + spec.gpus() <= type.gpus() + TOLERANCE
        && memoryGb + spec.memoryGb() <= type.memoryGb() + TOLERANCE;
  }

  /** Returns the maximum number of further tasks of the job that fit. */
  int maxTasksThatFit(JobSpec spec) {
    if (type == null) {
      return 0;
    }
    double count = MAX_TASKS;
    count = Math.min(count, maxTasks(type.cpus() - cpus, spec.cpus()));
    count = Math.min(count, maxTasks(type.gpus() - gpus, spec.gpus()));
    count = Math.min(count, maxTasks(type.memoryGb() - memoryGb, spec.memoryGb()));
    return (int) Math.max(0, Math.floor(count));
  }

  private static double maxTasks(double free, double perTask) {
    return perTask > 0 ? (free + TOLERANCE) / perTask : MAX_TASKS;
  }

  /** Adds the use of a task of the job, or subtracts it if {@code sign} is -1. */
  void add(JobSpec spec, int sign) {
    cpus += sign * spec.cpus();
    gpus += sign * spec.gpus();
    memoryGb += sign * spec.memoryGb();
  }

  /** Resets the use to zero once no task is left, to discard accumulated rounding errors. */
  void clear() {
    cpus = 0;
    gpus = 0;
    memoryGb = 0;
  }
}
