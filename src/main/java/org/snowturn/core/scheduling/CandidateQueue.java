package org.snowturn.core.scheduling;

import java.util.PriorityQueue;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.wire.Priority;

/**
 * Priority queue of the machines that could run a task of one job, lowest score first. Machines are
 * scored when they are added rather than for each task. A placement changes the score of its
 * machine, and can only raise the scores of other machines in the zone. The first machine whose
 * current score has not risen is therefore the best.
 */
final class CandidateQueue {
  /** A machine with its score at the time when it was added. */
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
  private final FirstEpochWait firstEpochWait;
  private final EvaluationCounter evaluations;
  private final PriorityQueue<Candidate> candidates = new PriorityQueue<>();
  private Job job;
  private boolean isWaitingForMachine;

  /** Creates an empty queue. */
  CandidateQueue(
      PlacementConstraints constraints,
      PlacementScore score,
      Aging aging,
      FirstEpochWait firstEpochWait,
      EvaluationCounter evaluations) {
    this.constraints = constraints;
    this.score = score;
    this.aging = aging;
    this.firstEpochWait = firstEpochWait;
    this.evaluations = evaluations;
  }

  /** Removes all machines and sets the job for which machines are added next. */
  void reset(Job newJob) {
    candidates.clear();
    job = newJob;
    isWaitingForMachine = false;
  }

  /** Returns whether a machine has room that the job's tasks leave alone for the time being. */
  boolean isWaitingForMachine() {
    return isWaitingForMachine;
  }

  /** Returns whether no machine is left. */
  boolean isEmpty() {
    return candidates.isEmpty();
  }

  /**
   * Adds the machine if a task of the job fits, it is not reserved for another job, and the job's
   * tasks do not wait for its next agent epoch. Production jobs may use reserved machines.
   */
  void offer(Machine machine) {
    evaluations.increment();
    boolean isReserved =
        job.priority() != Priority.PRODUCTION && aging.machineReservedForOther(job) == machine;
    if (isReserved || !constraints.fits(job, machine)) {
      return;
    }
    if (firstEpochWait.shouldWait(job, machine)) {
      isWaitingForMachine = true;
    } else {
      candidates.add(new Candidate(machine, score.score(job, machine)));
    }
  }

  /**
   * Removes and returns the machine with the lowest score that the task may run on. The machine
   * that is excluded for this task stays in the queue for other tasks.
   *
   * @return the machine, or null if there is none
   */
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
