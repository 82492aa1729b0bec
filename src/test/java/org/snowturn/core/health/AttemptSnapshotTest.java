package org.snowturn.core.health;

import static org.junit.jupiter.api.Assertions.assertEquals;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.snowturn.core.health.EndEvidence.LaterSession;
import org.snowturn.core.health.EndEvidence.LeaseLapsed;
import org.snowturn.core.health.EndEvidence.MachineDeleted;
import org.snowturn.core.health.EndEvidence.MachineFailed;
import org.snowturn.core.health.EndEvidence.NeverSent;
import org.snowturn.core.health.EndEvidence.NotListed;
import org.snowturn.core.health.EndEvidence.ReportedEnded;

/** Which evidence proves an attempt's end, and that nothing weaker does. */
class AttemptSnapshotTest {
  private static final long TOKEN = 9;
  private static final long SESSION = 4;
  private static final long ANSWERED = 1_000;
  private static final long LAPSE = 10_000;

  private long now = ANSWERED;
  private boolean durable = true;
  private boolean inherited;
  private boolean stopping;
  private boolean inDoubt;
  private boolean deleted;
  private boolean failed;

  private boolean proves(EndEvidence evidence) {
    AttemptSnapshot view =
        new AttemptSnapshot(
            TOKEN, now, SESSION, durable, inherited, stopping, inDoubt, deleted, failed, ANSWERED,
            LAPSE);
    return view.objection(evidence) == null;
  }

  @Test
  void aReportedEndCountsUnderThePresentTokenAndInItsSessionOnly() {
    assertEquals(true, proves(new ReportedEnded(TOKEN, SESSION)));
    assertEquals(false, proves(new ReportedEnded(TOKEN - 1, SESSION)));
    assertEquals(false, proves(new ReportedEnded(TOKEN, SESSION + 1)));
    assertEquals(false, proves(new ReportedEnded(TOKEN, SESSION - 1)));
    durable = false;
    assertEquals(false, proves(new ReportedEnded(TOKEN, SESSION)));
  }

  @Test
  void absenceProvesTheEndOfWhatAnEarlierLeaderPlaced() {
    assertEquals(false, proves(new NotListed(TOKEN, SESSION, true)));
    inherited = true;
    assertEquals(true, proves(new NotListed(TOKEN, SESSION, false)));
    assertEquals(false, proves(new NotListed(TOKEN - 1, SESSION, true)));
  }

  @Test
  void absenceProvesTheEndOfOurOwnOnlyOnceNoStartOfItCanArrive() {
    stopping = true;
    assertEquals(true, proves(new NotListed(TOKEN, SESSION, true)));
    assertEquals(false, proves(new NotListed(TOKEN, SESSION, false)));
    inDoubt = true;
    assertEquals(false, proves(new NotListed(TOKEN, SESSION, true)));
  }

  @Test
  void aLeaseHasRunOutNotBeforeItsLastMoment() {
    now = ANSWERED + LAPSE - 1;
    assertEquals(false, proves(new LeaseLapsed()));
    now = ANSWERED + LAPSE;
    assertEquals(true, proves(new LeaseLapsed()));
  }

  @Test
  void theCloudHasToHaveSaidSo() {
    assertEquals(false, proves(new MachineDeleted()));
    assertEquals(false, proves(new MachineFailed()));
    deleted = true;
    failed = true;
    assertEquals(true, proves(new MachineDeleted()));
    assertEquals(true, proves(new MachineFailed()));
  }

  @Test
  void whatMayHaveBeenSentIsNotCalledNeverSent() {
    assertEquals(false, proves(new NeverSent()));
    durable = false;
    assertEquals(true, proves(new NeverSent()));
  }

  /** Only a later session, a lapse or the cloud ends anything while another token is shown. */
  @Property
  void withoutThePresentTokenNoReportOfTheSameSessionProvesAnything(
      @ForAll @LongRange(min = 0, max = TOKEN - 1) long shown,
      @ForAll boolean wasInherited,
      @ForAll boolean wasStopping,
      @ForAll boolean checkIn) {
    inherited = wasInherited;
    stopping = wasStopping;
    assertEquals(false, proves(new NotListed(shown, SESSION, checkIn)));
    assertEquals(false, proves(new ReportedEnded(shown, SESSION)));
    assertEquals(false, proves(new LaterSession(SESSION)));
    assertEquals(true, proves(new LaterSession(SESSION + 1)));
  }
}
