package org.snowturn.core.election;

import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.EventLog;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;

/** Log of the changes in this node's authority to act as leader and in the ground for it. */
final class AuthorityLog {
  private final CoreRuntime runtime;
  private final ElectionState state;
  private final LeaderLease lease;
  private final Authority authority;
  private final CancellationWatermark watermark;
  private Authority.Ground loggedGround = Authority.Ground.NONE;
  private boolean loggedWatermarkCurrent = true;

  /** Creates a log that has written no line yet. */
  AuthorityLog(
      CoreRuntime runtime,
      ElectionState state,
      LeaderLease lease,
      Authority authority,
      CancellationWatermark watermark) {
    this.runtime = runtime;
    this.state = state;
    this.lease = lease;
    this.authority = authority;
    this.watermark = watermark;
  }

  /** Logs that this node has become leader. */
  void logAcquired() {
    loggedWatermarkCurrent = true;
    runtime
        .events()
        .info(LogEvent.LEADERSHIP_ACQUIRED)
        .with(LogField.TOKEN, state.token())
        .with(LogField.TTL_MS, lease.ttlMs())
        .write();
  }

  /** Logs the ground of the authority if it has changed since the last line. */
  void logGroundChange() {
    Authority.Ground ground = authority.ground();
    if (ground == loggedGround) {
      return;
    }
    loggedGround = ground;
    runtime
        .events()
        .info(LogEvent.AUTHORITY_CHANGED)
        .with(LogField.TOKEN, state.token())
        .with(LogField.GROUND, ground.logName())
        .with(LogField.LEASE, lease.id())
        .with(LogField.UNTIL_MS, lease.validUntil() - runtime.now())
        .write();
  }

  /** Logs whether the cancellation watermark is current if that has changed since the last line. */
  void logWatermarkChange() {
    if (loggedWatermarkCurrent == watermark.isCurrent()) {
      return;
    }
    loggedWatermarkCurrent = !loggedWatermarkCurrent;
    EventLog.Line line =
        runtime
            .events()
            .info(
                loggedWatermarkCurrent
                    ? LogEvent.CANCELLATIONS_CURRENT
                    : LogEvent.CANCELLATIONS_STALE)
            .with(LogField.TOKEN, state.token());
    if (!loggedWatermarkCurrent && watermark.isEstablished()) {
      line.with(LogField.AGE_MS, watermark.ageMs());
    }
    line.write();
  }
}
