package org.snowturn.wire;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * A worker's heartbeat with the status of its tasks.
 *
 * @param address where the worker takes direct commands, as IP address and port
 * @param agentEpoch the incarnation of the worker's agent; grows with each start
 * @param sequence the number of the heartbeat within its epoch
 * @param seenToken the greatest fencing token that the worker has seen
 * @param preemptionNoticeS seconds until the cloud takes the machine away, or NaN
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
    List<TaskStatus> tasks) {
  private static final double MAX_NOTICE_S = 1e9;

  /** Reads and checks a heartbeat. */
  public static Heartbeat parse(JsonNode node) throws MalformedException {
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
        tasks);
  }
}
