package org.snowturn.core.health;

import static org.junit.jupiter.api.Assertions.assertEquals;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.snowturn.core.health.EndEvidence.LaterAgentEpoch;
import org.snowturn.core.health.EndEvidence.LeaseExpired;
import org.snowturn.core.health.EndEvidence.MachineDeleted;
import org.snowturn.core.health.EndEvidence.MachineFailed;
import org.snowturn.core.health.EndEvidence.NeverSent;
import org.snowturn.core.health.EndEvidence.NotListed;
import org.snowturn.core.health.EndEvidence.ReportedEnded;

/** Checks which evidence proves the end of an attempt, and that weaker evidence is rejected. */
class AttemptSnapshotTest {
  private static final long TOKEN = 9;
  private static final long LATEST_TOKEN = 12;
  private static final long AGENT_EPOCH = 4;
  private static final long LEASE_RENEWED_AT = 1_000;
  private static final long LEASE_EXPIRY_MS = 10_000;

  private long now = LEASE_RENEWED_AT;
  private boolean durable = true;
  private boolean inherited;
  private boolean stopping;
  private boolean startInFlight;
  private boolean deleted;
  private boolean failed;

  private boolean proves(EndEvidence evidence) {
    AttemptSnapshot attempt =
        new AttemptSnapshot(
            TOKEN,
            LATEST_TOKEN,
            now,
            AGENT_EPOCH,
            durable,
            inherited,
            stopping,
            startInFlight,
            deleted,
            failed,
            LEASE_RENEWED_AT,
            LEASE_EXPIRY_MS);
    return attempt.rejectionReason(evidence) == null;
  }

  @Test
  void reportedEndNeedsPresentTokenSameAgentEpochAndDurablePlacement() {
    assertEquals(true, proves(new ReportedEnded(TOKEN, AGENT_EPOCH)));
    assertEquals(true, proves(new ReportedEnded(LATEST_TOKEN, AGENT_EPOCH)));
    assertEquals(false, proves(new ReportedEnded(TOKEN - 1, AGENT_EPOCH)));
    assertEquals(false, proves(new ReportedEnded(LATEST_TOKEN + 1, AGENT_EPOCH)));
    assertEquals(false, proves(new ReportedEnded(TOKEN, AGENT_EPOCH + 1)));
    assertEquals(false, proves(new ReportedEnded(TOKEN, AGENT_EPOCH - 1)));
    durable = false;
    assertEquals(false, proves(new ReportedEnded(TOKEN, AGENT_EPOCH)));
  }

  @Test
  void absenceProvesEndOfInheritedAttempt() {
    assertEquals(false, proves(new NotListed(TOKEN, AGENT_EPOCH, true)));
    inherited = true;
    assertEquals(true, proves(new NotListed(TOKEN, AGENT_EPOCH, false)));
    assertEquals(false, proves(new NotListed(TOKEN - 1, AGENT_EPOCH, true)));
  }

  @Test
  void absenceProvesEndOfOwnAttemptOnlyOnceNoStartCanArrive() {
    stopping = true;
    assertEquals(true, proves(new NotListed(TOKEN, AGENT_EPOCH, true)));
    assertEquals(false, proves(new NotListed(TOKEN, AGENT_EPOCH, false)));
    startInFlight = true;
    assertEquals(false, proves(new NotListed(TOKEN, AGENT_EPOCH, true)));
  }

  @Test
  void leaseExpiresExactlyAtItsExpiryTime() {
    now = LEASE_RENEWED_AT + LEASE_EXPIRY_MS - 1;
    assertEquals(false, proves(new LeaseExpired()));
    now = LEASE_RENEWED_AT + LEASE_EXPIRY_MS;
    assertEquals(true, proves(new LeaseExpired()));
  }

  @Test
  void cloudEvidenceNeedsConfirmationByTheCloud() {
    assertEquals(false, proves(new MachineDeleted()));
    assertEquals(false, proves(new MachineFailed()));
    deleted = true;
    failed = true;
    assertEquals(true, proves(new MachineDeleted()));
    assertEquals(true, proves(new MachineFailed()));
  }

  @Test
  void durablePlacementMayHaveBeenSent() {
    assertEquals(false, proves(new NeverSent()));
    durable = false;
    assertEquals(true, proves(new NeverSent()));
  }

  /**
   * While the machine reports an older token, only a later agent epoch, the expiry of the lease or
   * the cloud proves an end.
   */
  @Property
  void reportWithOlderTokenProvesNothingWithinItsAgentEpoch(
      @ForAll @LongRange(min = 0, max = TOKEN - 1) long reportedToken,
      @ForAll boolean wasInherited,
      @ForAll boolean wasStopping,
      @ForAll boolean unsolicited) {
    inherited = wasInherited;
    stopping = wasStopping;
    assertEquals(false, proves(new NotListed(reportedToken, AGENT_EPOCH, unsolicited)));
    assertEquals(false, proves(new ReportedEnded(reportedToken, AGENT_EPOCH)));
    assertEquals(false, proves(new LaterAgentEpoch(AGENT_EPOCH)));
    assertEquals(true, proves(new LaterAgentEpoch(AGENT_EPOCH + 1)));
  }
}
