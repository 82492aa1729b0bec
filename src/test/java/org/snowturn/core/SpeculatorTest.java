package org.snowturn.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.snowturn.core.decide.Speculator;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.Samples;

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
    Samples s = new Samples();
    assertTrue(Double.isNaN(s.percentile(25)));
    for (int i = 20; i >= 1; i--) {
      s.add(i);
    }
    assertEquals(6, s.percentile(25));
    assertEquals(11, s.median());
    assertEquals(20, s.percentile(100));
  }

  @Test
  void slownessIsTheMedianRatioAndOneBeforeThereAreAny() {
    Machine m = new Machine(0, "i-1");
    assertEquals(1, m.slowness());
    for (double r : new double[] {3, 1, 2}) {
      m.finishedWork(r);
    }
    assertEquals(2, m.slowness());
  }
}
