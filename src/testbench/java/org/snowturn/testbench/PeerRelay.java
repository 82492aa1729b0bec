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
 * The way from one controller to another: passes bytes on, or, while it is cut, lets connections be
 * made and passes nothing, as a network does that drops packets.
 */
final class PeerRelay implements AutoCloseable {
  private static final int BUFFER = 16 * 1024;

  private final String from;
  private final String to;
  private final InetSocketAddress target;
  private final ServerSocket server;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private volatile boolean cut;
  private volatile boolean closed;

  PeerRelay(String from, String to, InetSocketAddress target) throws IOException {
    this.from = from;
    this.to = to;
    this.target = target;
    this.server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    daemon(this::accept);
  }

  boolean isFrom(String controller) {
    return from.equals(controller);
  }

  boolean isTo(String controller) {
    return to.equals(controller);
  }

  InetSocketAddress address() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
  }

  /** While it is cut, what is sent is lost; connections end when it is opened again. */
  void setCut(boolean on) {
    if (cut && !on) {
      open.forEach(PeerRelay::close);
    }
    cut = on;
  }

  private void daemon(Runnable run) {
    Thread t = new Thread(run, "relay " + from + " to " + to);
    t.setDaemon(true);
    t.start();
  }

  private void accept() {
    while (!closed) {
      try {
        Socket in = server.accept();
        open.add(in);
        daemon(() -> pass(in));
      } catch (IOException e) {
        return; // closed
      }
    }
  }

  private void pass(Socket in) {
    try (Socket out = new Socket()) {
      if (!cut) {
        out.connect(target);
        open.add(out);
        // The other end writes nothing: that it can be read means that it is gone.
        daemon(() -> closeWhenGone(out, in));
      }
      copy(in.getInputStream(), out);
    } catch (IOException e) {
      // Either end is gone: both are.
    } finally {
      close(in);
      open.remove(in);
    }
  }

  private void copy(InputStream from, Socket to) throws IOException {
    byte[] buffer = new byte[BUFFER];
    OutputStream sink = to.isConnected() ? to.getOutputStream() : null;
    int n;
    while ((n = from.read(buffer)) >= 0) {
      if (!cut && sink != null) {
        sink.write(buffer, 0, n);
        sink.flush();
      }
    }
  }

  private void closeWhenGone(Socket out, Socket in) {
    try {
      if (out.getInputStream().read() >= 0) {
        return;
      }
    } catch (IOException e) {
      // gone as well
    }
    open.remove(out);
    close(in);
  }

  private static void close(Socket s) {
    try {
      s.close();
    } catch (IOException e) {
      return; // it is of no use any more in any case
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
      open.forEach(PeerRelay::close);
    }
  }
}
