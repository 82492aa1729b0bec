package org.snowturn.config;

import java.net.InetSocketAddress;
import java.util.List;

/** The platform's settings of one controller, checked. */
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
    CloudLimits cloudLimits,
    int maxConnections) {

  /** Another controller. */
  public record Peer(String node, InetSocketAddress addr) {}

  /** A team's guarantee and limit; a limit of 0 means none. */
  public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {}

  /** An aim at start or finish. */
  public record Objective(
      String kind, String jobClass, double share, double times, double withinS) {}

  /** How workers behave. */
  public record Workers(double reportS, double leaseS, double cancelS) {}

  /** The state service's limits. */
  public record StateLimits(double rps, double writeRps, double valueKb, int txnOps) {}

  /** The cloud's limits. */
  public record CloudLimits(double rps, double listLagS) {}
}
