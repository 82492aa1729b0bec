package org.snowturn.simulation;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.Json;

/** An attempt of a task on a simulated machine; phases and causes are those of PROTOCOL. */
final class SimulatedTask {
  final String job;
  final int index;
  final long attempt;
  private final long startSentAt;
  private String phase = "pulling";
  private String cause;

  /**
   * Creates an attempt that has not started yet.
   *
   * @param name the name of the task: its job, a slash and its number
   * @param startSentAt time at which the message with the start command left its node
   */
  SimulatedTask(String name, long attempt, long startSentAt) {
    int slash = name.lastIndexOf('/');
    this.job = name.substring(0, slash);
    this.index = Integer.parseInt(name.substring(slash + 1));
    this.attempt = attempt;
    this.startSentAt = startSentAt;
  }

  /** Returns the name of the task, which all its attempts share. */
  String name() {
    return job + "/" + index;
  }

  /** Returns a name of the attempt that no other attempt has. */
  String key() {
    return name() + "#" + attempt;
  }

  /** Returns the time at which the message with the start command left its node. */
  long startSentAt() {
    return startSentAt;
  }

  /** Returns the phase, as the machine reports it. */
  String phase() {
    return phase;
  }

  /** Returns why the attempt ended, as the machine reports it; null while it is alive. */
  String cause() {
    return cause;
  }

  /** Records that the attempt has its image and runs. */
  void run() {
    phase = "running";
  }

  /** Records the end of the attempt. */
  void end(String reason) {
    phase = "ended";
    cause = reason;
  }

  /** Returns the attempt as a heartbeat lists it. */
  ObjectNode describe() {
    ObjectNode object = Json.object().put("flake", name()).put("try", attempt).put("phase", phase);
    return cause == null ? object : object.put("cause", cause);
  }

  /**
   * Returns why a machine refuses to start the attempt; null if it does not.
   *
   * @param others the attempts that the machine lists
   */
  String refusalReason(SimulatedCluster cluster, Iterable<SimulatedTask> others) {
    JobSpec spec = cluster.clients.spec(job);
    if (spec == null) {
      return "no_such";
    }
    double cpus = spec.cpus();
    for (SimulatedTask other : others) {
      if (other.isAlive() && other.name().equals(name())) {
        return "busy";
      }
      cpus += other.isAlive() ? cluster.clients.spec(other.job).cpus() : 0;
    }
    return cpus > cluster.parameters.cpus() ? "full" : null;
  }

  boolean isRunning() {
    return phase.equals("running");
  }

  boolean isAlive() {
    return !phase.equals("ended");
  }
}
