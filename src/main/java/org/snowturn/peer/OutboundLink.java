package org.snowturn.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/** A connection to one peer that is only written to, and opened again whenever it is lost. */
final class OutboundLink {
  private static final int BUFFER_BYTES = 32 * 1024;

  /** Short at first: after all nodes went down each waits to hear that the others do not lead. */
  private static final long MIN_RETRY_DELAY_MS = 50;

  private static final long MAX_RETRY_DELAY_MS = 500;

  private final XnioIoThread io;
  private final InetSocketAddress peer;
  private final ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);
  private StreamConnection connection;
  private long retryDelayMs = MIN_RETRY_DELAY_MS;

  OutboundLink(XnioIoThread io, InetSocketAddress peer) {
    this.io = io;
    this.peer = peer;
  }

  void connect() {
    IoFuture<StreamConnection> future =
        io.openStreamConnection(peer, channel -> {}, OptionMap.EMPTY);
    future.addNotifier(
        (result, attachment) -> {
          if (result.getStatus() == IoFuture.Status.DONE) {
            io.execute(() -> opened(result));
          } else {
            reopenLater();
          }
        },
        null);
  }

  private void opened(IoFuture<? extends StreamConnection> result) {
    try {
      connection = result.get();
      retryDelayMs = MIN_RETRY_DELAY_MS;
      buffer.clear();
      ConduitStreamSinkChannel sink = connection.getSinkChannel();
      sink.setWriteListener(channel -> write());
      ConduitStreamSourceChannel source = connection.getSourceChannel();
      // Peers write nothing here: readable means closed.
      source.setReadListener(channel -> closed());
      source.resumeReads();
    } catch (IOException e) {
      reopenLater();
    }
  }

  private void reopenLater() {
    io.executeAfter(this::connect, retryDelayMs, TimeUnit.MILLISECONDS);
    retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, retryDelayMs * 2);
  }

  private void closed() {
    if (connection != null) {
      IoUtils.safeClose(connection);
      connection = null;
      reopenLater();
    }
  }

  /** Sends a frame, or drops it if there is no connection or no room in the buffer. */
  void send(byte[] frame) {
    if (connection != null && buffer.remaining() >= frame.length) {
      buffer.put(frame);
      write();
    }
  }

  private void write() {
    if (connection == null) {
      return;
    }
    ConduitStreamSinkChannel sink = connection.getSinkChannel();
    try {
      buffer.flip();
      while (buffer.hasRemaining() && sink.write(buffer) > 0) {
        // as much as the socket takes
      }
      buffer.compact();
      sink.flush();
      if (buffer.position() > 0) {
        sink.resumeWrites();
      } else {
        sink.suspendWrites();
      }
    } catch (IOException e) {
      closed();
    }
  }
}
