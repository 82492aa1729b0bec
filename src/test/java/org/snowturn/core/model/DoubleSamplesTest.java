package org.snowturn.core.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Guards against memory and sorting that grow with every finished task of a job, and against
 * samples that no longer represent all of them.
 */
class DoubleSamplesTest {
  private static final int MAX_SIZE = 64;
  private static final int SAMPLES = 100_000;

  @Test
  void upToTheBoundAllSamplesAreKept() {
    DoubleSamples bounded = new DoubleSamples(MAX_SIZE);
    DoubleSamples unbounded = new DoubleSamples();
    SplittableRandom random = new SplittableRandom(1);
    for (int i = 0; i < MAX_SIZE; i++) {
      double value = random.nextDouble();
      bounded.add(value);
      unbounded.add(value);
      assertEquals(value, bounded.get(i));
      assertEquals(unbounded.median(), bounded.median());
    }
    assertEquals(MAX_SIZE, bounded.size());
  }

  @Test
  void ofMoreSamplesEvenlySpacedOnesAreKept() {
    DoubleSamples samples = new DoubleSamples(MAX_SIZE);
    for (int i = 0; i < SAMPLES; i++) {
      samples.add(i);
      assertTrue(samples.size() <= MAX_SIZE);
      assertTrue(samples.size() > i / 2 || samples.size() >= MAX_SIZE / 2);
    }
    double distance = samples.get(1) - samples.get(0);
    for (int i = 1; i < samples.size(); i++) {
      assertEquals(distance, samples.get(i) - samples.get(i - 1));
    }
    assertTrue(samples.get(samples.size() - 1) + distance >= SAMPLES);
    assertEquals(SAMPLES / 2.0, samples.median(), distance);
  }
}
