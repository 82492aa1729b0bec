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
    InetSocketAddress serveOn,
    InetSocketAddress peerBind,
    List<Peer> peers,
    InetSocketAddress cloud,
    InetSocketAddress state,
    List<String> zones,
    List<Team> teams,
    List<Objective> objectives,
    Workers workers,
    StateLimits stateLimits,
    StateLimits nextStateLimits,
    CloudLimits cloudLimits,
    int maxConnections) {

  /** Another controller. */
  public record Peer(String node, InetSocketAddress addr) {}

  /** A team's guarantee and limit; a limit of 0 means none. */
  public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {}

  /** An aim at start or finish. */
  public record Objective(
      String kind, String jobClass, double share, double durationFactor, double withinS) {}

  /** How workers behave. */
  public record Workers(double reportS, double leaseS, double cancelS) {}

  /** The state service's limits. */
  public record StateLimits(double rps, double writeRps, double valueKb, int txnOps) {
    /** Of each limit the smaller one. */
    public StateLimits least(StateLimits other) {
      return new StateLimits(
          Math.min(rps, other.rps),
          Math.min(writeRps, other.writeRps),
          Math.min(valueKb, other.valueKb),
          Math.min(txnOps, other.txnOps));
    }

    /** How long a value may be. */
    public int valueBytes() {
      return (int) (valueKb * 1024);
    }
  }

  /** The cloud's limits. */
  public record CloudLimits(double rps, double listLagS) {}
}
