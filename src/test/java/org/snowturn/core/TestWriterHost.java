package org.snowturn.core;

import org.snowturn.core.storage.RecordWriter;

/** A leader's term that never ends and always has authority, for tests that write records. */
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
