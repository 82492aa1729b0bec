package org.snowturn.wire;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * A worker's report.
 *
 * @param noticeS seconds until the cloud takes the machine away, or NaN
 */
public record Report(
    String machine,
    String addr,
    String type,
    String zone,
    boolean spot,
    long session,
    long seq,
    long token,
    double noticeS,
    List<TaskReport> tasks) {

  /** Reads and checks a report. */
  public static Report parse(JsonNode node) throws MalformedException {
    Fields f = new Fields(node);
    List<TaskReport> tasks = new ArrayList<>();
    for (JsonNode t : f.node("flakes")) {
      tasks.add(task(new Fields(t)));
    }
    return new Report(
        f.text("drift"),
        f.text("addr"),
        f.text("hull"),
        f.text("field"),
        f.flag("loaners", false),
        f.integer("thaw", 0, Long.MAX_VALUE),
        f.integer("tally", 0, Long.MAX_VALUE),
        f.integer("baton", 0, Long.MAX_VALUE, 0),
        f.number("recall_s", -1e9, 1e9, Double.NaN),
        tasks);
  }

  private static TaskReport task(Fields f) throws MalformedException {
    String name = f.text("flake");
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
    TaskReport.State state =
        switch (f.text("phase")) {
          case "pulling" -> TaskReport.State.FETCHING;
          case "saving" -> TaskReport.State.SAVING;
          case "ended" -> TaskReport.State.ENDED;
          default -> TaskReport.State.RUNNING;
        };
    TaskReport.Why why = null;
    if (state == TaskReport.State.ENDED) {
      String cause = f.textOrNull("cause");
      why =
          switch (cause == null ? "" : cause) {
            case "done" -> TaskReport.Why.DONE;
            case "halted" -> TaskReport.Why.STOPPED;
            case "error" -> TaskReport.Why.ERROR;
            case "full" -> TaskReport.Why.NO_ROOM;
            case "busy" -> TaskReport.Why.BUSY;
            case "no_such" -> TaskReport.Why.UNKNOWN_JOB;
            default -> TaskReport.Why.OTHER;
          };
    }
    return new TaskReport(
        name.substring(0, slash), index, f.integer("try", 0, Long.MAX_VALUE), state, why);
  }
}
