package org.snowturn.config;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * The platform's settings of one controller, checked.
 *
 * @param nextStateLimits what the state service's limits will be from some unknown moment on; the
 *     same as now if nothing is to change
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

  /** Another controller. */
  public record Peer(String node, InetSocketAddress address) {}

  /** A team's guarantee and limit; a limit of 0 means none. */
  public record Team(
      String name, double guaranteedCpus, double maxCpus, double guaranteedGpus, double maxGpus) {}

  /** An aim at start or finish. */
  public record Objective(
      String kind, String jobClass, double share, double durationFactor, double withinS) {}

  /** How workers behave. */
  public record Workers(double heartbeatIntervalS, double leaseS, double cancellationDeadlineS) {}

  /** The state service's limits. */
  public record StateLimits(
      double maxRps, double maxWriteRps, double maxValueKb, int maxTransactionOps) {
    /** Of each limit the smaller one. */
    public StateLimits min(StateLimits other) {
      return new StateLimits(
          Math.min(maxRps, other.maxRps),
          Math.min(maxWriteRps, other.maxWriteRps),
          Math.min(maxValueKb, other.maxValueKb),
          Math.min(maxTransactionOps, other.maxTransactionOps));
    }

    /** How long a value may be. */
    public int maxValueBytes() {
      return (int) (maxValueKb * 1024);
    }
  }

  /** The cloud's limits. */
  public record CloudLimits(double maxRps, double listLagS) {}
}
