package org.snowturn.core;

import org.snowturn.core.storage.RecordWriter;

/** A term with authority that never ends, for tests of what writes under it. */
public record TestWriterHost(long token) implements RecordWriter.Host {
  @Override
  public boolean isTermOver() {
    return false;
  }

  @Override
  public boolean hasAuthority() {
    return true;
  }

  @Override
  public void onLeaderKeyLost() {}

  @Override
  public void onGuardFailed(String key) {}

  @Override
  public void onRecordRejected(String key) {}
}
