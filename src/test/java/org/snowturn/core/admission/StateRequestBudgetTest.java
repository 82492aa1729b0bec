package org.snowturn.core.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Checks which requests and submissions are admitted when the demand exceeds the rate. Without the
 * limits, an overload of status queries or of one group would crowd out lease renewals and others.
 */
class StateRequestBudgetTest {
  private final Map<RequestClass, Integer> acquiredByClass = new EnumMap<>(RequestClass.class);

  /**
   * Requests tokens for every class at a fixed interval for 20 s.
   *
   * @return the number of tokens acquired by all classes together
   */
  private int overload(StateRequestBudget budget, int intervalMs) {
    int total = 0;
    for (long now = 1; now <= 20_000; now++) {
      for (RequestClass requestClass : RequestClass.values()) {
        // A lease is renewed at its own interval, independent of the load.
        boolean isDue =
            requestClass == RequestClass.AUTHORITY ? now % 250 == 0 : now % intervalMs == 0;
        if (isDue && budget.tryAcquire(requestClass, now)) {
          acquiredByClass.merge(requestClass, 1, Integer::sum);
          total++;
        }
      }
    }
    return total;
  }

  @Test
  void underOverloadAuthorityAlwaysPassesAndEachClassGetsItsGuaranteedShare() {
    int total = overload(new StateRequestBudget(50, 0), 2);
    assertEquals(80, acquiredByClass.get(RequestClass.AUTHORITY));
    for (RequestClass requestClass : RequestClass.values()) {
      double guaranteed = 50 * 20 * requestClass.guaranteedShare;
      assertTrue(
          acquiredByClass.get(requestClass) >= 0.9 * guaranteed,
          requestClass + " " + acquiredByClass.get(requestClass) + " of " + guaranteed);
    }
    assertTrue(total <= 50 * 21 + 20, "acquired in total: " + total);
  }

  @Test
  void oneClassMayUseTheUnusedBudgetOfTheOthers() {
    StateRequestBudget budget = new StateRequestBudget(50, 0);
    int reads = 0;
    for (long now = 1; now <= 20_000; now++) {
      reads += budget.tryAcquire(RequestClass.READS, now) ? 1 : 0;
    }
    assertTrue(reads > 45 * 20, "reads: " + reads);
  }

  @Test
  void serviceRefusalsReduceTheRateWhichThenRecovers() {
    StateRequestBudget budget = new StateRequestBudget(100, 0);
    for (long now = 0; now < 3_000; now += 10) {
      budget.onServiceRefusal(now);
    }
    assertEquals(40, budget.allowedPerSecond(), 1);
    budget.tryAcquire(RequestClass.WORK, 8_000);
    assertEquals(100, budget.allowedPerSecond(), 1e-6);
    assertEquals(300, budget.serviceRefusalCount());
  }

  @Test
  void submissionsAreRefusedOnlyOnceTheServiceRefuses() {
    AdmissionController controller = new AdmissionController(new SplittableRandom(1), 2, 0);
    for (int i = 0; i < 200; i++) {
      assertTrue(controller.tryAdmit("a", 1, 0));
    }
    controller.onServiceRefusal(0);
    int admitted = 0;
    for (long now = 0; now < 2_900; now += 10) {
      admitted += controller.tryAdmit("a", 1, now) ? 1 : 0;
    }
    assertTrue(admitted >= 5 && admitted <= 7, "admitted: " + admitted);
    assertTrue(controller.tryAdmit("a", 1, 3_100));
  }

  @Test
  void aGroupWithLowDemandIsNotStarvedByAnother() {
    AdmissionController controller = new AdmissionController(new SplittableRandom(1), 10, 0);
    int smallAdmitted = 0;
    int tries = 0;
    for (long now = 0; now < 60_000; now += 5) {
      controller.onServiceRefusal(now);
      controller.tryAdmit("large", 1, now);
      if (now % 500 == 0) {
        tries++;
        smallAdmitted += controller.tryAdmit("small", 1, now) ? 1 : 0;
      }
    }
    assertTrue(smallAdmitted >= 0.95 * tries, smallAdmitted + " of " + tries);
  }

  @Test
  void retryDelaysAreSpreadOut() {
    AdmissionController controller = new AdmissionController(new SplittableRandom(1), 1, 0);
    assertEquals(1, controller.retryAfterS(0));
    controller.onServiceRefusal(0);
    int[] usersByDelayS = new int[40];
    for (int i = 0; i < 500; i++) {
      if (!controller.tryAdmit("a", 1, 10)) {
        usersByDelayS[controller.retryAfterS(10)]++;
      }
    }
    int maxUsers = 0;
    for (int users : usersByDelayS) {
      maxUsers = Math.max(maxUsers, users);
    }
    // When all changes are refused, the retry delays range from 2 to 5 s.
    assertTrue(maxUsers < 200, "users with the same retry delay: " + maxUsers);
    for (int delayS = 15; delayS < usersByDelayS.length; delayS++) {
      assertFalse(
          usersByDelayS[delayS] > 0,
          "retry delay too long for users who give up after 60 s: " + delayS);
    }
  }
}
