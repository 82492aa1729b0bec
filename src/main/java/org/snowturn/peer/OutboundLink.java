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

/** A connection that carries messages to one peer only. It is reopened whenever it is lost. */
final class OutboundLink {
  private static final int BUFFER_BYTES = 32 * 1024;

  /**
   * Initial retry delay. It is short because after a restart of all nodes each of them waits for
   * the others to report that they are not the leader.
   */
  private static final long MIN_RETRY_DELAY_MS = 50;

  private static final long MAX_RETRY_DELAY_MS = 500;

  private final XnioIoThread ioThread;
  private final InetSocketAddress peer;
  private final ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);
  private StreamConnection connection;
  private long retryDelayMs = MIN_RETRY_DELAY_MS;

  OutboundLink(XnioIoThread ioThread, InetSocketAddress peer) {
    this.ioThread = ioThread;
    this.peer = peer;
  }

  /** Opens the connection, and retries until it is open. */
  void connect() {
    IoFuture<StreamConnection> pendingConnection =
        ioThread.openStreamConnection(peer, channel -> {}, OptionMap.EMPTY);
    pendingConnection.addNotifier(
        (result, attachment) -> {
          if (result.getStatus() == IoFuture.Status.DONE) {
            ioThread.execute(() -> onConnected(result));
          } else {
            scheduleReconnect();
          }
        },
        null);
  }

  private void onConnected(IoFuture<? extends StreamConnection> result) {
    try {
      connection = result.get();
      retryDelayMs = MIN_RETRY_DELAY_MS;
      buffer.clear();
      ConduitStreamSinkChannel sink = connection.getSinkChannel();
      sink.setWriteListener(channel -> write());
      ConduitStreamSourceChannel source = connection.getSourceChannel();
      // The peer never writes to this connection, so it becomes readable only when it is closed.
      source.setReadListener(channel -> closeAndReconnect());
      source.resumeReads();
    } catch (IOException e) {
      scheduleReconnect();
    }
  }

  private void scheduleReconnect() {
    ioThread.executeAfter(this::connect, retryDelayMs, TimeUnit.MILLISECONDS);
    retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, retryDelayMs * 2);
  }

  private void closeAndReconnect() {
    if (connection != null) {
      IoUtils.safeClose(connection);
      connection = null;
      scheduleReconnect();
    }
  }

  /** Sends a frame, or drops it if there is no connection or too little space in the buffer. */
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
        // continues until the socket accepts no more bytes
      }
      buffer.compact();
      sink.flush();
      if (buffer.position() > 0) {
        sink.resumeWrites();
      } else {
        sink.suspendWrites();
      }
    } catch (IOException e) {
      closeAndReconnect();
    }
  }
}
