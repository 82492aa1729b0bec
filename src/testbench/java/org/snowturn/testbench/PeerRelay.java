package org.snowturn.testbench;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Relay for the connections from one controller to another. It forwards bytes in this direction.
 * While the link is cut, it accepts connections and discards what it reads, like a network that
 * drops packets.
 */
final class PeerRelay implements AutoCloseable {
  private static final int BUFFER_BYTES = 16 * 1024;
  private static final int ACCEPT_BACKLOG = 16;

  private final String from;
  private final String to;
  private final InetSocketAddress target;
  private final ServerSocket server;
  private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();
  private volatile boolean cut;
  private volatile boolean closed;

  /**
   * Opens a relay on a free loopback port.
   *
   * @param from name of the controller that connects
   * @param to name of the controller that is connected to
   * @param target address on which the controller {@code to} listens
   */
  PeerRelay(String from, String to, InetSocketAddress target) throws IOException {
    this.from = from;
    this.to = to;
    this.target = target;
    this.server = new ServerSocket(0, ACCEPT_BACKLOG, InetAddress.getLoopbackAddress());
    startDaemon(this::acceptConnections);
  }

  /** Returns whether this controller is the one that connects. */
  boolean isFrom(String controller) {
    return from.equals(controller);
  }

  /** Returns whether this controller is the one that is connected to. */
  boolean isTo(String controller) {
    return to.equals(controller);
  }

  /** Returns the address that the relay listens on. */
  InetSocketAddress address() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
  }

  /** Cuts or restores the link. Restoring it closes all connections, so that they are reopened. */
  void setCut(boolean isCut) {
    if (cut && !isCut) {
      openSockets.forEach(PeerRelay::close);
    }
    cut = isCut;
  }

  private void startDaemon(Runnable task) {
    Thread thread = new Thread(task, "relay " + from + " to " + to);
    thread.setDaemon(true);
    thread.start();
  }

  private void acceptConnections() {
    while (!closed) {
      try {
        Socket in = server.accept();
        openSockets.add(in);
        startDaemon(() -> forward(in));
      } catch (IOException e) {
        return; // the server socket is closed
      }
    }
  }

  private void forward(Socket in) {
    try (Socket out = new Socket()) {
      if (!cut) {
        out.connect(target);
        openSockets.add(out);
        // The target sends nothing on this connection: its end of stream means that it has closed.
        startDaemon(() -> closeWhenTargetCloses(out, in));
      }
      copy(in.getInputStream(), out);
    } catch (IOException e) {
      // One end has failed or closed; both are closed.
    } finally {
      close(in);
      openSockets.remove(in);
    }
  }

  private void copy(InputStream source, Socket destination) throws IOException {
    byte[] buffer = new byte[BUFFER_BYTES];
    OutputStream sink = destination.isConnected() ? destination.getOutputStream() : null;
    int byteCount;
    while ((byteCount = source.read(buffer)) >= 0) {
      if (!cut && sink != null) {
        sink.write(buffer, 0, byteCount);
        sink.flush();
      }
    }
  }

  private void closeWhenTargetCloses(Socket out, Socket in) {
    try {
      if (out.getInputStream().read() >= 0) {
        return;
      }
    } catch (IOException e) {
      // a failed read counts as closed, too
    }
    openSockets.remove(out);
    close(in);
  }

  private static void close(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      return; // nothing is left to release
    }
  }

  @Override
  public void close() {
    closed = true;
    try {
      server.close();
    } catch (IOException e) {
      return;
    } finally {
      openSockets.forEach(PeerRelay::close);
    }
  }
}
