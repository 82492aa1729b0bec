package org.snowturn.core.dispatch;

import org.snowturn.core.model.Machine;
import org.snowturn.wire.Command;
import org.snowturn.wire.Heartbeat;

/** A host of command queues that has authority, allows every start and ignores all events. */
public class TestCommandHost implements CommandQueue.Host {
  @Override
  public boolean hasAuthority() {
    return true;
  }

  @Override
  public void onHeartbeat(Heartbeat heartbeat) {}

  @Override
  public boolean canStart(Machine machine, Command start) {
    return true;
  }

  @Override
  public void onStartDue(Machine machine) {}

  @Override
  public void raiseToken(Machine machine) {}

  @Override
  public void onReadyToSend(CommandQueue queue) {}

  @Override
  public void onMessageUnanswered(Machine machine) {}
}
