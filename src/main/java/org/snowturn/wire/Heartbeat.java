package org.snowturn.wire;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * A worker's report.
 *
 * @param preemptionNoticeS seconds until the cloud takes the machine away, or NaN
 */
public record Heartbeat(
    String machine,
    String addr,
    String type,
    String zone,
    boolean spot,
    long epoch,
    long seq,
    long token,
    double preemptionNoticeS,
    List<TaskStatus> tasks) {

  /** Reads and checks a report. */
  public static Heartbeat parse(JsonNode node) throws MalformedException {
    Fields fields = new Fields(node);
    List<TaskStatus> tasks = new ArrayList<>();
    for (JsonNode t : fields.node("flakes")) {
      tasks.add(task(new Fields(t)));
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
        fields.number("recall_s", -1e9, 1e9, Double.NaN),
        tasks);
  }

  private static TaskStatus task(Fields fields) throws MalformedException {
    String name = fields.text("flake");
    int slash = name.lastIndexOf('/');
    int index;
    try {
      index = Integer.parseInt(name.substring(slash + 1));
    } catch (NumberFormatException e) {
      throw new MalformedException("flake: not a task name");
    }
    if (slash < 1 || index < 0) {
      throw new MalformedException("flake: not a task name");
    }
    TaskStatus.State state =
        switch (fields.text("phase")) {
          case "pulling" -> TaskStatus.State.FETCHING;
          case "saving" -> TaskStatus.State.SAVING;
          case "ended" -> TaskStatus.State.ENDED;
          default -> TaskStatus.State.RUNNING;
        };
    TaskStatus.ExitReason why = null;
    if (state == TaskStatus.State.ENDED) {
      String cause = fields.textOrNull("cause");
      why =
          switch (cause == null ? "" : cause) {
            case "done" -> TaskStatus.ExitReason.DONE;
            case "halted" -> TaskStatus.ExitReason.STOPPED;
            case "error" -> TaskStatus.ExitReason.ERROR;
            case "full" -> TaskStatus.ExitReason.NO_ROOM;
            case "busy" -> TaskStatus.ExitReason.BUSY;
            case "no_such" -> TaskStatus.ExitReason.UNKNOWN_JOB;
            default -> TaskStatus.ExitReason.OTHER;
          };
    }
    return new TaskStatus(
        name.substring(0, slash), index, fields.integer("try", 0, Long.MAX_VALUE), state, why);
  }
}
