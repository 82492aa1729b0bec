package org.snowturn.core.storage;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeSet;
import org.snowturn.core.Outcome;
import org.snowturn.core.admission.RequestClass;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.wire.JobStatus;
import org.snowturn.wire.MalformedException;
import org.snowturn.wire.StateMessage;

/**
 * Reads what is stored of some jobs, live or over. A few are read one by one; many by ranges that
 * begin at the next name wanted, so that neither thousands of names nor thousands of other jobs
 * take thousands of requests. Records only move from live to over, so live ones are read first;
 * only the leader, who moves them, may begin with the others, where most are that it does not know.
 */
public final class JobLookup {
  public static final List<String> LIVE_FIRST = List.of(StorageKeys.JOBS, StorageKeys.OVER);
  public static final List<String> OVER_FIRST = List.of(StorageKeys.OVER, StorageKeys.JOBS);

  private static final int ONE_BY_ONE = 12;
  private static final int PAGE = 500;
  private static final int TIMEOUT_MS = 1_500;

  /** What a record tells: whether it is live, the job's phase, and whether it is a service. */
  public record Fact(boolean live, JobStatus.Phase phase, boolean service) {
    private static Fact of(StateMessage.Entry entry) {
      boolean live = entry.key().startsWith(StorageKeys.JOBS);
      return new Fact(live, JobRecord.phaseOf(entry.value()), JobRecord.service(entry.value()));
    }
  }

  /** Takes what was found; all there is only if the state service told everything. */
  public interface Then {
    void on(Map<String, Fact> found, boolean complete);
  }

  private final CoreRuntime runtime;
  private final RequestClass purpose;
  private final List<String> order;
  private final Map<String, Fact> found = new HashMap<>();
  private final TreeSet<String> notHere = new TreeSet<>();
  private final Then then;
  private final long until;
  private int open;
  private boolean over;

  /**
   * Finds some jobs and hands over what is stored of each that was ever accepted, by its id.
   *
   * @param purpose what the reads are for
   * @param withinMs the time after which nobody wants to know any more
   */
  public static void find(
      CoreRuntime runtime,
      RequestClass purpose,
      List<String> order,
      Collection<String> ids,
      long withinMs,
      Then then) {
    JobLookup f = new JobLookup(runtime, purpose, order, runtime.now() + withinMs, then);
    if (ids.size() > ONE_BY_ONE) {
      f.range(0, new TreeSet<>(ids));
      return;
    }
    f.open = ids.size();
    List.copyOf(ids).forEach(id -> f.one(0, id));
    f.finishIfAllAnswered();
  }

  private JobLookup(
      CoreRuntime runtime, RequestClass purpose, List<String> order, long until, Then then) {
    this.purpose = purpose;
    this.runtime = runtime;
    this.order = order;
    this.until = until;
    this.then = then;
  }

  private void fail() {
    if (!over) {
      over = true;
      then.on(found, false);
    }
  }

  private void finishIfAllAnswered() {
    if (open == 0 && !over) {
      over = true;
      then.on(found, true);
    }
  }

  private void one(int place, String id) {
    runtime.callState(
        purpose,
        "GET",
        "/kv/" + order.get(place) + id,
        null,
        TIMEOUT_MS,
        (outcome, status, body) -> {
          boolean absent = outcome == Outcome.ANSWERED && status == 404;
          if (absent && place + 1 < order.size()) {
            one(place + 1, id);
            return;
          }
          try {
            if (outcome == Outcome.ANSWERED && status == 200) {
              found.put(id, Fact.of(StateMessage.entry(body)));
            } else if (!absent) {
              fail();
            }
          } catch (MalformedException e) {
            fail();
          }
          open--;
          finishIfAllAnswered();
        });
  }

  private void range(int place, NavigableSet<String> wanted) {
    if (wanted.isEmpty()) {
      finishIfAllAnswered();
      return;
    }
    if (runtime.now() > until) {
      fail();
      return;
    }
    // An id ends in a digit: whatever sorts before it begins with a smaller one there.
    String prefix = order.get(place);
    String next = prefix + wanted.first();
    int end = next.length() - 1;
    String since = next.substring(0, end) + (char) (next.charAt(end) - 1) + "~";
    runtime.callState(
        purpose,
        "GET",
        "/kv?prefix=" + prefix + "&since=" + since + "&most=" + PAGE,
        null,
        TIMEOUT_MS,
        (outcome, status, body) -> {
          if (outcome != Outcome.ANSWERED || status != 200) {
            fail();
            return;
          }
          try {
            take(place, wanted, StateMessage.entries(body), StateMessage.more(body));
          } catch (MalformedException e) {
            fail();
          }
        });
  }

  private void take(
      int place, NavigableSet<String> wanted, List<StateMessage.Entry> page, boolean more) {
    String last = null;
    for (StateMessage.Entry entry : page) {
      last = entry.key().substring(order.get(place).length());
      if (wanted.contains(last)) {
        found.put(last, Fact.of(entry));
      }
    }
    TreeSet<String> left =
        more && last != null ? new TreeSet<>(wanted.tailSet(last, false)) : new TreeSet<>();
    List<String> missing = new ArrayList<>(wanted);
    missing.removeIf(id -> found.containsKey(id) || left.contains(id));
    notHere.addAll(missing);
    if (left.isEmpty() && place + 1 < order.size()) {
      TreeSet<String> rest = new TreeSet<>(notHere);
      notHere.clear();
      range(place + 1, rest);
    } else {
      range(place, left);
    }
  }
}
