package org.snowturn.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.snowturn.core.Input;
import org.snowturn.core.PeerMessage;
import org.xnio.ChannelListener;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.channels.AcceptingChannel;

/**
 * One-way streams of messages: each node connects to each of its peers and only writes. What does
 * not fit the small buffer of a slow peer is dropped; no message is needed for safety.
 *
 * <p>All of it belongs to the one I/O thread that it is given.
 */
public final class PeerLinks {
  private static final Logger LOG = LoggerFactory.getLogger(PeerLinks.class);

  private final XnioIoThread io;
  private final Consumer<Input> core;
  private final List<OutboundLink> links = new ArrayList<>();

  /** Messages that arrive are handed to {@code core} on the I/O thread. */
  public PeerLinks(XnioIoThread io, Consumer<Input> core) {
    this.io = io;
    this.core = core;
  }

  /**
   * Listens for peers.
   *
   * @throws IOException if the address cannot be bound
   */
  public void listen(InetSocketAddress bind) throws IOException {
    ChannelListener<AcceptingChannel<StreamConnection>> onAccept =
        server -> {
          try {
            StreamConnection connection;
            while ((connection = server.accept()) != null) {
              new InboundLink(connection, core).start();
            }
          } catch (IOException e) {
            LOG.debug("event=peer_not_accepted error=\"{}\"", e.toString());
          }
        };
    AcceptingChannel<StreamConnection> server =
        io.getWorker()
            .createStreamConnectionServer(
                bind, onAccept, OptionMap.create(Options.REUSE_ADDRESSES, true));
    server.resumeAccepts();
  }

  /** Keeps a connection to a peer from now on. */
  public void connect(InetSocketAddress peer) {
    OutboundLink link = new OutboundLink(io, peer);
    links.add(link);
    link.connect();
  }

  /** Sends a message to every peer that is connected. */
  public void send(PeerMessage message) {
    byte[] frame = PeerCodec.encode(message);
    if (frame.length > PeerCodec.MAX_FRAME_BYTES) {
      LOG.debug("event=peer_message_too_long bytes={}", frame.length);
      return;
    }
    links.forEach(link -> link.send(frame));
  }
}
