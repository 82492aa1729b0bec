package org.snowturn.simulation;

import java.util.List;

/**
 * What a region's world has seen so far.
 *
 * @param nowMs the world's time
 * @param starts tasks begun in all
 * @param running tasks that run
 * @param workersUp machines whose worker reports
 * @param jobsDone jobs that are over
 * @param leader the controller that answers workers, or null
 * @param tokens how many tokens workers have seen, so one more than changes of leader
 * @param longestPauseMs the longest time without a start since the load began
 * @param stateWrites changes asked of the state service
 * @param stateRequests requests to the state service
 * @param stateRefused requests that it refused for its rates
 * @param reports check-ins sent by workers
 * @param commands direct messages received by workers
 * @param broken names of the rules that are broken, and some details
 */
public record LoopbackStatus(
    long nowMs,
    long startedTasks,
    long runningTasks,
    int workersUp,
    long finishedJobs,
    String leader,
    int tokensSeen,
    long longestPauseMs,
    long stateWrites,
    long stateRequests,
    long stateRefusals,
    long heartbeats,
    long commands,
    List<String> violations) {}
