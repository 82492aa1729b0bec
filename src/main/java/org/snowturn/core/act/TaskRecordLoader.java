package org.snowturn.core.act;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.function.IntPredicate;
import org.snowturn.core.calls.Calls;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineBook;
import org.snowturn.core.model.TaskRecords;
import org.snowturn.core.records.Keys;
import org.snowturn.core.records.Slot;
import org.snowturn.core.store.FormatGate;
import org.snowturn.core.store.Writer;

/**
 * Takes over the stored records of tasks, in both formats, and goes from the first to the second.
 */
final class TaskRecordLoader {
  private final Calls calls;
  private final FormatGate gate;
  private final Writer writer;
  private final MachineBook machines;
  private final Ledger ledger;
  private boolean registryComplete = true;

  TaskRecordLoader(
      Calls calls, FormatGate gate, Writer writer, MachineBook machines, Ledger ledger) {
    this.calls = calls;
    this.gate = gate;
    this.writer = writer;
    this.machines = machines;
    this.ledger = ledger;
  }

  /** From now on, that a machine is on no page proves nothing. */
  void registryIncomplete() {
    registryComplete = false;
  }

  /** Takes over a stored record of tasks: results, and tasks that an earlier leader bound. */
  void loadChunk(Job j, int chunk, JsonNode value, long stamp) {
    if (chunk < 0 || chunk >= j.chunks.length) {
      return;
    }
    ledger.chunk(j, chunk).stamp = stamp;
    load(j, value, j.layout.from(chunk), j.secondFormat, t -> true);
  }

  /**
   * Takes over a record of the first format after the gate has opened. It tells of the tasks that
   * no record of the second format tells of: those are newer, since nobody writes the first any
   * more.
   */
  void loadOlderChunk(Job j, int chunk, JsonNode value, long stamp) {
    Slot s = writer.slot(Keys.tasks(j.spec.id(), chunk), stamp, () -> null, () -> null);
    j.olderChunks.add(s);
    load(
        j,
        value,
        chunk * gate.spans().first(),
        false,
        t -> {
          Slot newer = j.chunks[j.layout.recordOf(t)];
          return newer == null || newer.stamp == 0;
        });
  }

  private void load(Job j, JsonNode value, int from, boolean secondFormat, IntPredicate tellsOf) {
    TaskRecords.read(
        value,
        from,
        new TaskRecords.Reader() {
          /**
           * Whether the machine is on no page of the registry. Those who write the second format
           * enter a machine before its first placement, and strike it out only when all on it has
           * ended for certain: what was placed there waits. Taken for bound, it would be missed for
           * as long as a lease (zone cut, leader dies). The first version kept no registry, so its
           * records say nothing of the kind.
           */
          private boolean struckOut(String machine) {
            Machine m = machines.find(machine);
            return secondFormat && registryComplete && (m == null || m.registryPage < 0);
          }

          private boolean isNews(int t) {
            return t >= 0 && t < j.state.length && j.state[t] == Job.PENDING && tellsOf.test(t);
          }

          @Override
          public void done(int t) {
            if (isNews(t)) {
              j.enter(t, Job.DONE);
              j.pending--;
              j.done++;
            }
          }

          @Override
          public void placed(int t, long attempt, String machine, long session) {
            if (isNews(t) && !struckOut(machine)) {
              Machine m = machines.getOrCreate(machine);
              // An earlier leader may have answered it until now, whether or not it is on the
              // registry.
              m.lastAnswerAt = Math.max(m.lastAnswerAt, calls.now());
              ledger.inherit(j, t, m, attempt, session);
            }
          }
        });
  }

  /**
   * Goes on in the second format with the jobs whose records of the first are settled; tells
   * whether some are left.
   */
  boolean useSecondFormat() {
    boolean left = false;
    for (Job j : ledger.jobs()) {
      if (j.secondFormat) {
        continue;
      }
      boolean unsettled = j.finishing;
      for (Slot s : j.chunks) {
        unsettled |= s != null && s.inFlight;
      }
      left |= unsettled;
      if (!unsettled) {
        useSecondFormat(j);
      }
    }
    return left;
  }

  private void useSecondFormat(Job j) {
    Slot[] older = j.chunks;
    j.useSecondFormat(gate.spans(), gate.limits().valueBytes(), machines);
    for (int c = 0; c < older.length; c++) {
      if (older[c] == null || !older[c].dirty) {
        continue;
      }
      // What waited for the old record waits for every piece of it now.
      int urgency = older[c].urgency;
      List<Runnable> actions = List.copyOf(older[c].onDurable);
      writer.clear(older[c]);
      int first = c * j.layout.pieces();
      int end = Math.min(first + j.layout.pieces(), j.chunks.length);
      int[] missing = {end - first};
      for (int p = first; p < end; p++) {
        writer.mark(
            ledger.chunk(j, p),
            urgency,
            () -> {
              if (--missing[0] == 0) {
                actions.forEach(Runnable::run);
              }
            });
      }
    }
  }
}
