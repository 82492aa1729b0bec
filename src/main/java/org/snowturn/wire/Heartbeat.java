package org.snowturn.wire;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * A worker's heartbeat with the status of its tasks.
 *
 * @param machine id of the worker's machine
 * @param address IP address and port on which the worker accepts direct commands
 * @param type name of the machine type
 * @param spot whether it is a spot machine, which the cloud may take back
 * @param agentEpoch incarnation of the worker's agent; increases with each start
 * @param sequence number of the heartbeat within the incarnation of the agent
 * @param seenToken highest fencing token that the worker has seen
 * @param preemptionNoticeS seconds until the cloud takes the machine back, or NaN without a notice
 * @param tasks status of each task attempt on the machine
 * @param layoutBytes bytes by which the longest entry of a task would exceed the most compact
 *     layout, or {@link ListedTaskSize#NOT_MEASURED}
 */
public record Heartbeat(
    String machine,
    String address,
    String type,
    String zone,
    boolean spot,
    long agentEpoch,
    long sequence,
    long seenToken,
    double preemptionNoticeS,
    List<TaskStatus> tasks,
    int layoutBytes) {
  private static final double MAX_NOTICE_S = 1e9;

  /**
   * Parses and validates a heartbeat of unknown size, such as the reply to a direct message.
   *
   * @throws MalformedException if a required field is missing or a value is invalid
   */
  public static Heartbeat parse(JsonNode node) throws MalformedException {
    return parse(node, 0);
  }

  /**
   * Parses and validates a heartbeat.
   *
   * @param bytes the size of the heartbeat as the worker has written it; 0 if unknown
   * @throws MalformedException if a required field is missing or a value is invalid
   */
  public static Heartbeat parse(JsonNode node, int bytes) throws MalformedException {
    Fields fields = new Fields(node);
    List<TaskStatus> tasks = new ArrayList<>();
    for (JsonNode task : fields.node("flakes")) {
      tasks.add(TaskStatus.parse(new Fields(task)));
    }
    return new Heartbeat(
        fields.text("drift"),
        fields.text("addr"),
        fields.text("hull"),
        fields.text("field"),
        fields.flag("loaners", false),
        fields.integer("thaw", 0, Long.MAX_VALUE),
        fields.integer("tally", 0, Long.MAX_VALUE),
        fields.integer("baton", 0, Long.MAX_VALUE, 0),
        fields.number("recall_s", -MAX_NOTICE_S, MAX_NOTICE_S, Double.NaN),
        tasks,
        ListedTaskSize.measureLayout(fields.node("flakes"), bytes));
  }
}
