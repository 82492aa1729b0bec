package org.snowturn.core;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.JobView;
import org.snowturn.wire.Json;
import org.snowturn.wire.MalformedException;

/** A job's record in the state service. */
record StoredJob(JobView.Phase phase, long submittedWall, JobSpec spec, int tasks) {
  static StoredJob parse(JsonNode v) throws MalformedException {
    JobView.Phase phase =
        switch (v.path("p").asText()) {
          case "done" -> JobView.Phase.DONE;
          case "aborted" -> JobView.Phase.ABORTED;
          case "queued" -> JobView.Phase.QUEUED;
          default -> throw new MalformedException("p: unknown phase in a job's record");
        };
    JobSpec spec = v.has("s") ? JobSpec.parse(v.get("s")) : null;
    return new StoredJob(phase, v.path("at").asLong(0), spec, v.path("n").asInt(0));
  }

  /** Whether the record forbids any change of phase. */
  static JobView.Phase phaseOf(JsonNode v) {
    String p = v.path("p").asText();
    return p.equals("done")
        ? JobView.Phase.DONE
        : p.equals("aborted") ? JobView.Phase.ABORTED : JobView.Phase.QUEUED;
  }

  ObjectNode live() {
    ObjectNode o = Json.object();
    o.put("v", Keys.VERSION).put("p", phase.wire()).put("at", submittedWall);
    o.set("s", spec.toJson());
    return o;
  }

  /** The short record that remains of a job that is over. */
  static ObjectNode over(JobView.Phase phase, int tasks) {
    return Json.object().put("v", Keys.VERSION).put("p", phase.wire()).put("n", tasks);
  }
}
