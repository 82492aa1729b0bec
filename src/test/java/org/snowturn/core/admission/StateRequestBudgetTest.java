package org.snowturn.core.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Whose calls pass when all want more than there is. */
class StateRequestBudgetTest {
  private final Map<RequestClass, Integer> passed = new EnumMap<>(RequestClass.class);

  /** Every purpose asks so often for 20 s; counts what passes. */
  private int flood(StateRequestBudget budget, int everyMs) {
    int all = 0;
    for (long now = 1; now <= 20_000; now++) {
      for (RequestClass requestClass : RequestClass.values()) {
        // A lease is renewed now and then, whatever the flood.
        boolean asks = requestClass == RequestClass.AUTHORITY ? now % 250 == 0 : now % everyMs == 0;
        if (asks && budget.tryAcquire(requestClass, now)) {
          passed.merge(requestClass, 1, Integer::sum);
          all++;
        }
      }
    }
    return all;
  }

  @Test
  void underOverloadAuthorityAlwaysPassesAndEachClassGetsItsGuaranteedShare() {
    int all = flood(new StateRequestBudget(50, 0), 2);
    assertEquals(80, passed.get(RequestClass.AUTHORITY));
    for (RequestClass requestClass : RequestClass.values()) {
      double floor = 50 * 20 * requestClass.guaranteedShare;
      assertTrue(
          passed.get(requestClass) >= 0.9 * floor,
          requestClass + " " + passed.get(requestClass) + " of " + floor);
    }
    assertTrue(all <= 50 * 21 + 20, "no more than the part: " + all);
  }

  @Test
  void oneClassMayUseTheUnusedBudgetOfTheOthers() {
    StateRequestBudget budget = new StateRequestBudget(50, 0);
    int reads = 0;
    for (long now = 1; now <= 20_000; now++) {
      reads += budget.tryAcquire(RequestClass.READS, now) ? 1 : 0;
    }
    assertTrue(reads > 45 * 20, "" + reads);
  }

  @Test
  void serviceRefusalsReduceTheRateWhichThenRecovers() {
    StateRequestBudget budget = new StateRequestBudget(100, 0);
    for (long now = 0; now < 3_000; now += 10) {
      budget.refusedByService(now);
    }
    assertEquals(40, budget.allowedPerSecond(), 1);
    budget.tryAcquire(RequestClass.WORK, 8_000);
    assertEquals(100, budget.allowedPerSecond(), 1e-6);
    assertEquals(300, budget.refusedByService());
  }

  @Test
  void submissionsAreRefusedOnlyOnceTheServiceRefuses() {
    AdmissionController controller = new AdmissionController(new SplittableRandom(1), 2, 0);
    for (int i = 0; i < 200; i++) {
      assertTrue(controller.tryAdmit("a", 1, 0));
    }
    controller.onServiceRefusal(0);
    int taken = 0;
    for (long now = 0; now < 2_900; now += 10) {
      taken += controller.tryAdmit("a", 1, now) ? 1 : 0;
    }
    assertTrue(taken >= 5 && taken <= 7, "" + taken);
    assertTrue(controller.tryAdmit("a", 1, 3_100));
  }

  @Test
  void aGroupWithLowDemandIsNotStarvedByAnother() {
    AdmissionController controller = new AdmissionController(new SplittableRandom(1), 10, 0);
    int small = 0;
    int tries = 0;
    for (long now = 0; now < 60_000; now += 5) {
      controller.onServiceRefusal(now);
      controller.tryAdmit("large", 1, now);
      if (now % 500 == 0) {
        tries++;
        small += controller.tryAdmit("small", 1, now) ? 1 : 0;
      }
    }
    assertTrue(small >= 0.95 * tries, small + " of " + tries);
  }

  @Test
  void retryDelaysAreSpreadOut() {
    AdmissionController controller = new AdmissionController(new SplittableRandom(1), 1, 0);
    assertEquals(1, controller.retryAfterS(0));
    controller.onServiceRefusal(0);
    int[] at = new int[40];
    for (int i = 0; i < 500; i++) {
      if (!controller.tryAdmit("a", 1, 10)) {
        at[controller.retryAfterS(10)]++;
      }
    }
    int most = 0;
    for (int n : at) {
      most = Math.max(most, n);
    }
    // At the largest pressure they are told 2 to 5 s.
    assertTrue(most < 200, "most return in one second: " + most);
    for (int s = 15; s < at.length; s++) {
      assertFalse(at[s] > 0, "users give up after 60 s: " + s);
    }
  }
}
