package org.snowturn.core.api;

import java.util.List;
import java.util.Map;
import org.snowturn.config.Settings;
import org.snowturn.core.model.MachineTypes;
import org.snowturn.core.model.Quota;
import org.snowturn.wire.JobSpec;

/** Finds out why a job could never run, by the settings and the cloud's catalog. */
final class SubmissionValidator {
  private final Settings settings;
  private final MachineTypes machineTypes;

  SubmissionValidator(Settings settings, MachineTypes machineTypes) {
    this.settings = settings;
    this.machineTypes = machineTypes;
  }

  /** Whether enough is known to judge. */
  boolean ready() {
    return machineTypes.known();
  }

  /** Why a job could never run, for the user; null if it could. Dependencies are not looked at. */
  String rejection(JobSpec spec) {
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
    int together = spec.minConcurrentTasks();
    if (Quota.exceeds(spec.cpus() * together, team.maxCpus())
        || Quota.exceeds(spec.gpus() * together, team.maxGpus())) {
      return "more than the team's limit";
    }
    return null;
  }

  /**
   * Why a job could never run that depends on these; null if it could.
   *
   * @param services whether each accepted one of them is a service
   */
  static String rejection(List<String> dependencies, Map<String, Boolean> services) {
    for (String id : dependencies) {
      if (!services.containsKey(id)) {
        return "awaits: " + id + " was never accepted";
      }
      if (services.get(id)) {
        return "awaits: " + id + " is a service";
      }
    }
    return null;
  }
}
