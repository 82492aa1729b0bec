package org.snowturn.core.scheduling;

import java.util.PriorityQueue;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.wire.Priority;

/**
 * The machines that could take a task of one job, by score. Each is scored once for all tasks: a
 * placement changes the machine it goes to, and makes others of its zone less good, so whatever
 * comes out first and still has its score is best.
 */
final class CandidateQueue {
  private record Candidate(Machine machine, double score) implements Comparable<Candidate> {
    @Override
    public int compareTo(Candidate other) {
      int order = Double.compare(score, other.score);
      return order != 0 ? order : Integer.compare(machine.index, other.machine.index);
    }
  }

  private final PlacementConstraints constraints;
  private final PlacementScore score;
  private final Aging aging;
  private final EvaluationCounter evaluations;
  private final PriorityQueue<Candidate> candidates = new PriorityQueue<>();
  private Job job;

  CandidateQueue(
      PlacementConstraints constraints,
      PlacementScore score,
      Aging aging,
      EvaluationCounter evaluations) {
    this.constraints = constraints;
    this.score = score;
    this.aging = aging;
    this.evaluations = evaluations;
  }

  /** Starts over, empty, for a job. */
  void reset(Job newJob) {
    candidates.clear();
    job = newJob;
  }

  boolean isEmpty() {
    return candidates.isEmpty();
  }

  /** Adds the machine if it has room and is not reserved for another job. */
  void offer(Machine machine) {
    evaluations.increment();
    boolean reserved =
        job.priority() != Priority.PRODUCTION && aging.machineReservedForOther(job) == machine;
    if (!reserved && constraints.fits(job, machine)) {
      candidates.add(new Candidate(machine, score.score(job, machine)));
    }
  }

  /** Takes out the machine with the lowest score that the task may go to; null if there is none. */
  Machine poll(int task) {
    Candidate excluded = null;
    Machine best = null;
    while (best == null && !candidates.isEmpty()) {
      Candidate candidate = candidates.poll();
      evaluations.increment();
      if (!constraints.fits(job, candidate.machine)) {
        continue;
      }
      double currentScore = score.score(job, candidate.machine);
      if (currentScore > candidate.score) {
        candidates.add(new Candidate(candidate.machine, currentScore));
      } else if (job.failures.excludedMachine(task) == candidate.machine.index) {
        excluded = candidate;
      } else {
        best = candidate.machine;
      }
    }
    if (excluded != null) {
      candidates.add(excluded);
    }
    return best;
  }
}
