package org.snowturn.core.api;

import java.util.List;
import java.util.Map;
import org.snowturn.config.Settings;
import org.snowturn.core.model.MachineTypes;
import org.snowturn.core.model.Quota;
import org.snowturn.wire.JobSpec;

/** Checks by the settings and the cloud's catalog whether a job can ever run. */
final class SubmissionValidator {
  private final Settings settings;
  private final MachineTypes machineTypes;

  SubmissionValidator(Settings settings, MachineTypes machineTypes) {
    this.settings = settings;
    this.machineTypes = machineTypes;
  }

  /** Returns whether the machine types are known, which the checks need. */
  boolean isReady() {
    return machineTypes.isLoaded();
  }

  /**
   * Returns the reason, for the user, why a job can never run, or null if it can. Does not check
   * the job's dependencies.
   */
  String rejectionReason(JobSpec spec) {
    Settings.Team team = null;
    for (Settings.Team candidate : settings.teams()) {
      if (candidate.name().equals(spec.team())) {
        team = candidate;
      }
    }
    if (team == null) {
      return "unknown team";
    }
    if (!machineTypes.canHold(spec)) {
      return "a task fits no allowed machine type";
    }
    if (spec.zone() != null && !settings.zones().contains(spec.zone())) {
      return "unknown zone";
    }
    int concurrentTasks = spec.minConcurrentTasks();
    if (Quota.exceeds(spec.cpus() * concurrentTasks, team.maxCpus())
        || Quota.exceeds(spec.gpus() * concurrentTasks, team.maxGpus())) {
      return "more than the team's limit";
    }
    return null;
  }

  /**
   * Returns the reason, for the user, why a job with the given dependencies can never run, or null
   * if it can.
   *
   * @param dependencies ids of the jobs to wait for
   * @param isServiceByJob whether each accepted dependency is a service, by job id
   */
  static String rejectionReason(List<String> dependencies, Map<String, Boolean> isServiceByJob) {
    for (String id : dependencies) {
      if (!isServiceByJob.containsKey(id)) {
        return "awaits: " + id + " was never accepted";
      }
      if (isServiceByJob.get(id)) {
        return "awaits: " + id + " is a service";
      }
    }
    return null;
  }
}
