package org.snowturn.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.snowturn.core.Input;
import org.snowturn.core.PeerMessage;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.ConduitStreamSourceChannel;

/** A connection that a peer has opened, and that is only read from. */
final class InboundLink {
  private static final Logger LOG = LoggerFactory.getLogger(InboundLink.class);
  private static final int MIN_FRAME_BYTES = 2;
  private static final int UNSIGNED_SHORT_MASK = 0xffff;

  private final StreamConnection connection;
  private final Consumer<Input> core;
  private final ByteBuffer buffer = ByteBuffer.allocate(PeerCodec.MAX_FRAME_BYTES * 2);

  InboundLink(StreamConnection connection, Consumer<Input> core) {
    this.connection = connection;
    this.core = core;
  }

  void start() {
    ConduitStreamSourceChannel source = connection.getSourceChannel();
    source.setReadListener(this::read);
    source.resumeReads();
  }

  private void read(ConduitStreamSourceChannel source) {
    try {
      int count;
      while ((count = source.read(buffer)) > 0) {
        takeFrames();
      }
      if (count < 0) {
        IoUtils.safeClose(connection);
      }
    } catch (IOException e) {
      LOG.debug("event=peer_connection_closed error=\"{}\"", e.toString());
      IoUtils.safeClose(connection);
    }
  }

  private void takeFrames() throws IOException {
    buffer.flip();
    while (buffer.remaining() >= PeerCodec.LENGTH_BYTES) {
      int length = buffer.getShort(buffer.position()) & UNSIGNED_SHORT_MASK;
      if (length > PeerCodec.MAX_FRAME_BYTES || length < MIN_FRAME_BYTES) {
        throw new IOException("frame of " + length + " bytes");
      }
      if (buffer.remaining() < PeerCodec.LENGTH_BYTES + length) {
        break;
      }
      buffer.getShort();
      byte[] body = new byte[length];
      buffer.get(body);
      PeerMessage message = decode(body);
      if (message != null) {
        core.accept(new Input.FromPeer(message));
      }
    }
    buffer.compact();
  }

  /** Null for a malformed message, which must not end the connection. */
  private static PeerMessage decode(byte[] body) {
    try {
      return PeerCodec.decode(body);
    } catch (IOException e) {
      LOG.debug("event=peer_message_malformed bytes={} error=\"{}\"", body.length, e.toString());
      return null;
    }
  }
}
