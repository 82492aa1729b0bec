package org.snowturn.testbench;

import java.io.IOException;
import java.net.InetSocketAddress;

/** Supplies the addresses under which controllers connect to their peers. */
interface PeerAddresses {
  /** Each controller connects to the address that its peer listens on. */
  PeerAddresses DIRECT = (from, to) -> to.peerBindAddress;

  /**
   * Returns the address of a peer.
   *
   * @param from the controller that connects
   * @param to the peer that it connects to
   */
  InetSocketAddress resolve(ControllerProcess from, ControllerProcess to) throws IOException;
}
