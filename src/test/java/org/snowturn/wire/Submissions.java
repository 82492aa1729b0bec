package org.snowturn.wire;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** Valid submissions with all required fields, for tests that modify some of them. */
public final class Submissions {
  private Submissions() {}

  /** Returns the submission of an array with this number of tasks, each of which needs one CPU. */
  public static ObjectNode array(String id, int tasks) {
    ObjectNode object = Json.object().put("id", id).put("jobclass", "c").put("owner", "t");
    object.put("shape", "batch").put("rank", "high").put("flakes", tasks).put("cores", 1.0);
    object.put("cards", 0.0).put("ram_gb", 1.0).put("bundle", "i").put("size_gb", 1.0);
    object.put("same_place", false).put("spread", false).put("loaners", true);
    return object.put("guess_s", 9.0).put("cairn_s", 0.0).put("stash_s", 0.0);
  }
}
