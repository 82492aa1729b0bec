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
 * Exchanges messages with the other controllers over one-way connections: each node connects to
 * each of its peers and only writes to that connection. Messages that do not fit into the small
 * buffer for a slow peer are dropped; the safety of the protocol does not depend on their delivery.
 *
 * <p>All methods have to be called on the I/O thread given to the constructor.
 */
public final class PeerLinks {
  private static final Logger LOG = LoggerFactory.getLogger(PeerLinks.class);

  private final XnioIoThread ioThread;
  private final Consumer<Input> onInput;
  private final List<OutboundLink> outboundLinks = new ArrayList<>();

  /**
   * Creates an instance without connections.
   *
   * @param onInput handles each received message, on the I/O thread
   */
  public PeerLinks(XnioIoThread ioThread, Consumer<Input> onInput) {
    this.ioThread = ioThread;
    this.onInput = onInput;
  }

  /**
   * Starts to accept connections of peers on an address.
   *
   * @throws IOException if the address cannot be bound
   */
  public void listen(InetSocketAddress address) throws IOException {
    ChannelListener<AcceptingChannel<StreamConnection>> onAccept =
        server -> {
          try {
            StreamConnection connection;
            while ((connection = server.accept()) != null) {
              new InboundLink(connection, onInput).start();
            }
          } catch (IOException e) {
            LOG.debug("event=peer_not_accepted error=\"{}\"", e.toString());
          }
        };
    AcceptingChannel<StreamConnection> serverChannel =
        ioThread
            .getWorker()
            .createStreamConnectionServer(
                address, onAccept, OptionMap.create(Options.REUSE_ADDRESSES, true));
    serverChannel.resumeAccepts();
  }

  /** Connects to a peer, and reconnects whenever the connection is lost. */
  public void connect(InetSocketAddress peer) {
    OutboundLink link = new OutboundLink(ioThread, peer);
    outboundLinks.add(link);
    link.connect();
  }

  /** Sends a message to every connected peer. */
  public void send(PeerMessage message) {
    byte[] frame = PeerCodec.encode(message);
    if (frame.length > PeerCodec.MAX_FRAME_BYTES) {
      LOG.debug("event=peer_message_too_long bytes={}", frame.length);
      return;
    }
    outboundLinks.forEach(link -> link.send(frame));
  }
}
