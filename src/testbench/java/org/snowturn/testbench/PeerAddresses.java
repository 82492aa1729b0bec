package org.snowturn.testbench;

import java.io.IOException;
import java.net.InetSocketAddress;

/** Where one controller finds another. */
interface PeerAddresses {
  /** Each finds the other where it listens. */
  PeerAddresses DIRECT = (from, to) -> to.peerBindAddress;

  InetSocketAddress resolve(ControllerProcess from, ControllerProcess to) throws IOException;
}
