package org.snowturn.config;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * The validated platform settings of one controller.
 *
 * @param node name of this controller, unique among the controllers
 * @param zone zone in which this controller runs
 * @param listenAddress address on which the HTTP API for users and workers listens
 * @param peerListenAddress address on which connections of other controllers are accepted
 * @param peers the other controllers
 * @param cloudAddress address of the cloud API
 * @param stateServiceAddress address of the state service
 * @param zones zones in which machines can be rented
 * @param stateLimits limits of the state service that apply now
 * @param nextStateLimits limits that the state service will switch to at an unannounced time; equal
 *     to {@code stateLimits} if no change is planned
 * @param maxConnections maximum number of open sockets of this controller
 */
public record Settings(
    String node,
    String zone,
    InetSocketAddress listenAddress,
    InetSocketAddress peerListenAddress,
    List<Peer> peers,
    InetSocketAddress cloudAddress,
    InetSocketAddress stateServiceAddress,
    List<String> zones,
    List<Team> teams,
    List<Objective> objectives,
    Workers workers,
    StateLimits stateLimits,
    StateLimits nextStateLimits,
    CloudLimits cloudLimits,
    int maxConnections) {

  /** Another controller and the address on which it accepts connections of its peers. */
  public record Peer(String node, InetSocketAddress address) {}

  /** A team's guaranteed and maximum resources; a maximum of 0 means unlimited. */
  public record Team(
      String name, double guaranteedCpus, double maxCpus, double guaranteedGpus, double maxGpus) {}

  /**
   * A service-level objective for the jobs of one class.
   *
   * @param kind what the objective measures, such as {@code wait}, {@code finished} or {@code
   *     deadline}
   * @param jobClass job class to which the objective applies
   * @param share share of the jobs that have to meet the objective, from 0 to 1
   * @param deadlineFactor multiple of a job's deadline within which it has to be done, for kind
   *     {@code deadline}
   * @param withinS maximum time in seconds until the start ({@code wait}) or the end ({@code
   *     finished}) of a job
   */
  public record Objective(
      String kind, String jobClass, double share, double deadlineFactor, double withinS) {}

  /**
   * Timing of the workers.
   *
   * @param heartbeatIntervalS seconds between two heartbeats of a worker
   * @param leaseS seconds after which a worker without contact to the leader stops its tasks
   * @param cancellationDeadlineS seconds after the confirmation of a cancellation within which all
   *     tasks of the job have to be stopped
   */
  public record Workers(double heartbeatIntervalS, double leaseS, double cancellationDeadlineS) {}

  /**
   * Limits of the state service.
   *
   * @param maxRps maximum requests per second
   * @param maxWriteRps maximum write requests per second
   * @param maxValueKb maximum size of a value in KiB
   * @param maxTransactionOps maximum number of operations in a transaction
   */
  public record StateLimits(
      double maxRps, double maxWriteRps, double maxValueKb, int maxTransactionOps) {
    private static final int BYTES_PER_KB = 1024;

    /** Returns the smaller value of each limit of this record and {@code other}. */
    public StateLimits min(StateLimits other) {
      return new StateLimits(
          Math.min(maxRps, other.maxRps),
          Math.min(maxWriteRps, other.maxWriteRps),
          Math.min(maxValueKb, other.maxValueKb),
          Math.min(maxTransactionOps, other.maxTransactionOps));
    }

    /** Returns the maximum size of a value in bytes. */
    public int maxValueBytes() {
      return (int) (maxValueKb * BYTES_PER_KB);
    }
  }

  /**
   * Limits of the cloud.
   *
   * @param maxRps maximum requests per second
   * @param listLagS maximum delay in seconds until a change appears in the list of machines
   */
  public record CloudLimits(double maxRps, double listLagS) {}
}
