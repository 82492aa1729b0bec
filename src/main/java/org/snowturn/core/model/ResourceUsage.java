package org.snowturn.core.model;

import org.snowturn.wire.JobSpec;
import org.snowturn.wire.MachineType;

/** What of a machine's resources its tasks use; nothing fits while its type is unknown. */
final class ResourceUsage {
  /** Sums of fractions may be off by this much. */
  private static final double SLACK = 1e-6;

  /** Enough for any machine; stands for "as many as you like". */
  private static final double MAX_TASKS = 1000;

  private MachineType type;
  private double cpus;
  private double gpus;
  private double memoryGb;

  MachineType type() {
    return type;
  }

  void type(MachineType newType) {
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

  boolean hasRoom(JobSpec spec) {
    return type != null
        && cpus + spec.cpus() <= type.cpus() + SLACK
        && gpus + spec.gpus() <= type.gpus() + SLACK
        && memoryGb + spec.memoryGb() <= type.memoryGb() + SLACK;
  }

  int roomFor(JobSpec spec) {
    if (type == null) {
      return 0;
    }
    double count = MAX_TASKS;
    count = Math.min(count, fitting(type.cpus() - cpus, spec.cpus()));
    count = Math.min(count, fitting(type.gpus() - gpus, spec.gpus()));
    count = Math.min(count, fitting(type.memoryGb() - memoryGb, spec.memoryGb()));
    return (int) Math.max(0, Math.floor(count));
  }

  private static double fitting(double free, double each) {
    return each > 0 ? (free + SLACK) / each : MAX_TASKS;
  }

  void add(JobSpec spec, int sign) {
    cpus += sign * spec.cpus();
    gpus += sign * spec.gpus();
    memoryGb += sign * spec.memoryGb();
  }

  /** No task is left: what rounding has left behind goes too. */
  void clear() {
    cpus = 0;
    gpus = 0;
    memoryGb = 0;
  }
}
