package org.snowturn.core.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.snowturn.core.model.DoubleSamples;
import org.snowturn.core.model.Machine;

/** The figures of DESIGN-snowturn.md: score, rate, time left, percentile. */
class SpeculatorTest {
  @Test
  void timeLeftIsWhatRemainsOfTheExpectedRunAndPastItTheRunningTime() {
    assertEquals(6, Speculator.timeLeft(4, 10));
    assertEquals(12, Speculator.timeLeft(12, 10));
    assertEquals(0.4, Speculator.score(4, 10));
  }

  @Test
  void anOverdueTasksRateIsOneOverItsRunningTime() {
    assertEquals(0.1, Speculator.rate(4, 10));
    assertEquals(1.0 / 25, Speculator.rate(25, 10));
    assertTrue(Speculator.rate(25, 10) < Speculator.rate(9, 10));
  }

  @Test
  void percentiles() {
    DoubleSamples samples = new DoubleSamples();
    assertTrue(Double.isNaN(samples.percentile(25)));
    for (int i = 20; i >= 1; i--) {
      samples.add(i);
    }
    assertEquals(6, samples.percentile(25));
    assertEquals(11, samples.median());
    assertEquals(20, samples.percentile(100));
  }

  @Test
  void slownessIsTheMedianRatioAndOneBeforeThereAreAny() {
    Machine machine = new Machine(0, "i-1");
    assertEquals(1, machine.slowness());
    for (double r : new double[] {3, 1, 2}) {
      machine.finishedWork(r);
    }
    assertEquals(2, machine.slowness());
  }
}
