package org.snowturn.core.election;

import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.EventLog;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;

/** Logs when this node's right to act begins, ends or comes to rest on something else. */
final class AuthorityLog {
  private final CoreRuntime runtime;
  private final ElectionState state;
  private final LeaderLease lease;
  private final Authority authority;
  private final CancellationWatermark watermark;
  private Authority.Ground loggedGround = Authority.Ground.NONE;
  private boolean loggedCurrent = true;

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
    loggedCurrent = true;
    runtime
        .events()
        .info(LogEvent.LEADERSHIP_ACQUIRED)
        .with(LogField.TOKEN, state.token())
        .with(LogField.TTL_MS, lease.ttlMs())
        .write();
  }

  /** Logs what authority rests on, if that has changed. */
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

  /** Logs whether all cancellations that matter are known to this leader, if that has changed. */
  void logWatermarkChange() {
    if (loggedCurrent == watermark.isCurrent()) {
      return;
    }
    loggedCurrent = !loggedCurrent;
    EventLog.Line line =
        runtime
            .events()
            .info(loggedCurrent ? LogEvent.CANCELLATIONS_CURRENT : LogEvent.CANCELLATIONS_STALE)
            .with(LogField.TOKEN, state.token());
    if (!loggedCurrent && watermark.isEstablished()) {
      line.with(LogField.AGE_MS, watermark.ageMs());
    }
    line.write();
  }
}
