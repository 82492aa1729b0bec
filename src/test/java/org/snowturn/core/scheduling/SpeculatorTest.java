package org.snowturn.core.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.snowturn.core.model.DoubleSamples;
import org.snowturn.core.model.Machine;

/** Guards against wrong estimates of progress and slowness, which would restart healthy tasks. */
class SpeculatorTest {
  @Test
  void remainingTimeIsWhatIsLeftOfTheExpectedRunAndPastItTheRunningTime() {
    assertEquals(6, Speculator.remainingS(4, 10));
    assertEquals(12, Speculator.remainingS(12, 10));
    assertEquals(0.4, Speculator.relativeRunTime(4, 10));
  }

  @Test
  void anOverdueTasksRateIsOneOverItsRunningTime() {
    assertEquals(0.1, Speculator.progressRate(4, 10));
    assertEquals(1.0 / 25, Speculator.progressRate(25, 10));
    assertTrue(Speculator.progressRate(25, 10) < Speculator.progressRate(9, 10));
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
    Machine machine = new Machine(0, "i-1", 7);
    assertEquals(1, machine.slowness());
    for (double ratio : new double[] {3, 1, 2}) {
      machine.recordRunTimeRatio(ratio);
    }
    assertEquals(2, machine.slowness());
  }
}
