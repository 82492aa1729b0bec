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

/** A connection that was opened by a peer and carries messages from the peer only. */
final class InboundLink {
  private static final Logger LOG = LoggerFactory.getLogger(InboundLink.class);

  /** Every frame contains at least a version and a message kind of one byte each. */
  private static final int MIN_FRAME_BYTES = 2;

  private static final int UNSIGNED_SHORT_MASK = 0xffff;

  private final StreamConnection connection;
  private final Consumer<Input> onInput;
  private final ByteBuffer buffer = ByteBuffer.allocate(PeerCodec.MAX_FRAME_BYTES * 2);

  InboundLink(StreamConnection connection, Consumer<Input> onInput) {
    this.connection = connection;
    this.onInput = onInput;
  }

  /** Starts to read messages from the connection. */
  void start() {
    ConduitStreamSourceChannel source = connection.getSourceChannel();
    source.setReadListener(this::read);
    source.resumeReads();
  }

  private void read(ConduitStreamSourceChannel source) {
    try {
      int count;
      while ((count = source.read(buffer)) > 0) {
        handleFrames();
      }
      if (count < 0) {
        IoUtils.safeClose(connection);
      }
    } catch (IOException e) {
      LOG.debug("event=peer_connection_closed error=\"{}\"", e.toString());
      IoUtils.safeClose(connection);
    }
  }

  /** Decodes and passes on all complete frames in the buffer. */
  private void handleFrames() throws IOException {
    buffer.flip();
    while (buffer.remaining() >= PeerCodec.LENGTH_BYTES) {
      int length = buffer.getShort(buffer.position()) & UNSIGNED_SHORT_MASK;
      if (length > PeerCodec.MAX_FRAME_BYTES || length < MIN_FRAME_BYTES) {
        throw new IOException(
            "frame length "
                + length
                + ", expected "
                + MIN_FRAME_BYTES
                + " to "
                + PeerCodec.MAX_FRAME_BYTES
                + " bytes");
      }
      if (buffer.remaining() < PeerCodec.LENGTH_BYTES + length) {
        break;
      }
      buffer.getShort();
      byte[] body = new byte[length];
      buffer.get(body);
      PeerMessage message = decode(body);
      if (message != null) {
        onInput.accept(new Input.FromPeer(message));
      }
    }
    buffer.compact();
  }

  /**
   * Decodes a frame without its length. Returns null if the frame is malformed, which must not
   * close the connection, or if its message kind is unknown.
   */
  private static PeerMessage decode(byte[] body) {
    try {
      return PeerCodec.decode(body);
    } catch (IOException e) {
      LOG.debug("event=peer_message_malformed bytes={} error=\"{}\"", body.length, e.toString());
      return null;
    }
  }
}
