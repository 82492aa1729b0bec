package org.snowturn.simulation;

import java.util.List;

/**
 * Counters and state of one region of a scale run at one moment.
 *
 * @param nowMs the time since the start of the region, in milliseconds
 * @param startedTasks the total number of tasks started
 * @param runningTasks the number of tasks that run now
 * @param workersUp the number of machines whose worker is alive
 * @param finishedJobs the number of jobs that users have seen in a terminal phase
 * @param leader the controller that last accepted a heartbeat, or null if none has
 * @param termsSeen the number of distinct terms whose tokens workers have seen: one more than the
 *     number of leader changes
 * @param longestPauseMs the longest time without a task start since the arrivals began, in
 *     milliseconds
 * @param stateWrites the number of writes requested from the state service
 * @param stateRequests the number of requests to the state service
 * @param stateRefusals the number of requests that the state service refused because of its rate
 *     limits
 * @param heartbeats the number of heartbeats sent by workers
 * @param commands the number of direct messages received by workers
 * @param violations the names of the violated rules, followed by details of the first violations
 */
public record LoopbackStatus(
    long nowMs,
    long startedTasks,
    long runningTasks,
    int workersUp,
    long finishedJobs,
    String leader,
    int termsSeen,
    long longestPauseMs,
    long stateWrites,
    long stateRequests,
    long stateRefusals,
    long heartbeats,
    long commands,
    List<String> violations) {}
