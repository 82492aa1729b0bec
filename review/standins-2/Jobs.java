import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What users have uploaded, and what runs where, as an onlooker sees it. */
final class Jobs {
  /** A task that is on a machine. */
  record Run(String task, long attempt, String machine, long sinceMs) {}

  private final RunRecord record;
  private final Map<String, ObjectNode> specs = new HashMap<>();
  private final Map<String, Double> runSeconds = new HashMap<>();
  private final Set<String> results = new HashSet<>();
  private final Set<String> failing = new HashSet<>();
  private final List<Run> running = new ArrayList<>();
  private final Map<String, Integer> starts = new HashMap<>();
  private final Map<String, Long> cancelledAtMs = new HashMap<>();

  Jobs(RunRecord record) {
    this.record = record;
  }

  static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  /** Returns a submission of an array with the values that most cases share. */
  static ObjectNode array(String id, String team, String jobClass, int tasks) {
    ObjectNode job = Http.object();
    job.put("id", id).put("jobclass", jobClass).put("owner", team).put("shape", "batch");
    job.put("rank", "high").put("flakes", tasks).put("cores", 4.0).put("cards", 0.0);
    job.put("ram_gb", 10.0).put("bundle", "img-01").put("size_gb", 0.1);
    job.putNull("hulls").putNull("field");
    job.put("same_place", false).put("spread", false).put("loaners", true);
    job.put("guess_s", 10.0).put("cairn_s", 0.0).put("stash_s", 0.0).put("due_s", 60.0);
    return job;
  }

  /** Uploads a job's description, with the time that each of its tasks really takes. */
  synchronized void upload(ObjectNode spec, double seconds) {
    specs.put(spec.path("id").asText(), spec);
    runSeconds.put(spec.path("id").asText(), seconds);
  }

  synchronized JsonNode spec(String job) {
    return specs.get(job);
  }

  synchronized double runSeconds(String job) {
    return runSeconds.getOrDefault(job, 10.0);
  }

  /** Lets the next attempt of a task fail. */
  synchronized void failOnce(String task) {
    failing.add(task);
  }

  synchronized boolean failsNow(String task) {
    return failing.remove(task);
  }

  synchronized boolean hasResult(String task) {
    return results.contains(task);
  }

  synchronized void putResult(String task) {
    results.add(task);
  }

  /** Returns the number of tasks of a job that have completed. */
  synchronized int resultCount(String job) {
    return (int) results.stream().filter(task -> task.startsWith(job + "/")).count();
  }

  synchronized void confirmCancelled(String job) {
    cancelledAtMs.putIfAbsent(job, nowMs());
  }

  synchronized void onStart(String task, long attempt, String machine) {
    for (Run run : running) {
      if (run.task.equals(task) && !run.machine.equals(machine)) {
        record.broken(
            "ran_twice",
            "%s starts on %s (attempt %d) while it is on %s (attempt %d)",
            task, machine, attempt, run.machine, run.attempt);
      }
    }
    running.add(new Run(task, attempt, machine, nowMs()));
    starts.merge(task, 1, Integer::sum);
    record.line("ran      %s attempt %d begins on %s", task, attempt, machine);
  }

  synchronized void onEnd(String task, long attempt, String machine, String cause) {
    if (running.removeIf(
        run ->
            run.task.equals(task) && run.attempt == attempt && run.machine.equals(machine))) {
      record.line("ran      %s attempt %d ends on %s: %s", task, attempt, machine, cause);
    }
  }

  synchronized int starts(String task) {
    return starts.getOrDefault(task, 0);
  }

  synchronized List<Run> running(String job) {
    return running.stream().filter(run -> run.task.startsWith(job + "/")).toList();
  }

  synchronized List<Run> allRunning() {
    return List.copyOf(running);
  }
}
