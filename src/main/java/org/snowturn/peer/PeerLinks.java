package org.snowturn.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.snowturn.core.Input;
import org.snowturn.core.PeerMessage;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.channels.AcceptingChannel;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * One-way streams of records: each node connects to each of its peers and only writes. What does
 * not fit the small buffer of a slow peer is dropped; no record is needed for safety.
 */
public final class PeerLinks {
  private static final Logger LOG = LoggerFactory.getLogger(PeerLinks.class);
  private static final int BUFFER = 32 * 1024;
  private static final long RETRY_LEAST_MS = 50;
  private static final long RETRY_MOST_MS = 500;

  private final XnioIoThread io;
  private final Consumer<Input> core;
  private final List<Out> links = new ArrayList<>();

  /** Records that arrive are handed to {@code core} on the I/O thread. */
  public PeerLinks(XnioIoThread io, Consumer<Input> core) {
    this.io = io;
    this.core = core;
  }

  /** Listens for peers. */
  public void listen(InetSocketAddress bind) throws IOException {
    ChannelListener<AcceptingChannel<StreamConnection>> onAccept =
        server -> {
          try {
            StreamConnection c;
            while ((c = server.accept()) != null) {
              new In(c).start();
            }
          } catch (IOException e) {
            LOG.debug("peer not accepted: {}", e.toString());
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
    Out out = new Out(peer);
    links.add(out);
    out.open();
  }

  /** Sends a record to every peer that is connected. */
  public void send(PeerMessage message) {
    byte[] bytes = PeerCodec.encode(message);
    if (bytes.length > PeerCodec.MAX) {
      LOG.debug("record of {} bytes not sent", bytes.length);
      return;
    }
    links.forEach(l -> l.send(bytes));
  }

  private final class Out {
    final InetSocketAddress peer;
    final ByteBuffer buffer = ByteBuffer.allocate(BUFFER);
    StreamConnection connection;
    long retryMs = RETRY_LEAST_MS;

    Out(InetSocketAddress peer) {
      this.peer = peer;
    }

    void open() {
      IoFuture<StreamConnection> future = io.openStreamConnection(peer, c -> {}, OptionMap.EMPTY);
      future.addNotifier(
          (f, x) -> {
            if (f.getStatus() == IoFuture.Status.DONE) {
              io.execute(() -> opened(f));
            } else {
              later();
            }
          },
          null);
    }

    void opened(IoFuture<? extends StreamConnection> f) {
      try {
        connection = f.get();
        retryMs = RETRY_LEAST_MS;
        buffer.clear();
        ConduitStreamSinkChannel sink = connection.getSinkChannel();
        sink.setWriteListener(ch -> write());
        ConduitStreamSourceChannel source = connection.getSourceChannel();
        // Peers write nothing here: readable means closed.
        source.setReadListener(ch -> closed());
        source.resumeReads();
      } catch (IOException e) {
        later();
      }
    }

    void later() {
      // After all nodes went down each waits to hear that the others do not lead: soon at first.
      io.executeAfter(this::open, retryMs, TimeUnit.MILLISECONDS);
      retryMs = Math.min(RETRY_MOST_MS, retryMs * 2);
    }

    void closed() {
      if (connection != null) {
        IoUtils.safeClose(connection);
        connection = null;
        later();
      }
    }

    void send(byte[] bytes) {
      if (connection != null && buffer.remaining() >= bytes.length) {
        buffer.put(bytes);
        write();
      }
    }

    void write() {
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

  private final class In {
    final StreamConnection connection;
    final ByteBuffer buffer = ByteBuffer.allocate(PeerCodec.MAX * 2);

    In(StreamConnection connection) {
      this.connection = connection;
    }

    void start() {
      ConduitStreamSourceChannel source = connection.getSourceChannel();
      source.setReadListener(this::read);
      source.resumeReads();
    }

    void read(ConduitStreamSourceChannel source) {
      try {
        int n;
        while ((n = source.read(buffer)) > 0) {
          take();
        }
        if (n < 0) {
          IoUtils.safeClose(connection);
        }
      } catch (IOException e) {
        LOG.debug("peer dropped: {}", e.toString());
        IoUtils.safeClose(connection);
      }
    }

    /** One record that is malformed must not take the link with it. */
    private PeerMessage decoded(byte[] body) {
      try {
        return PeerCodec.decode(body);
      } catch (IOException e) {
        LOG.debug("malformed record of {} bytes dropped: {}", body.length, e.toString());
        return null;
      }
    }

    void take() throws IOException {
      buffer.flip();
      while (buffer.remaining() >= 2) {
        int length = buffer.getShort(buffer.position()) & 0xffff;
        if (length > PeerCodec.MAX || length < 2) {
          throw new IOException("record of " + length + " bytes");
        }
        if (buffer.remaining() < 2 + length) {
          break;
        }
        buffer.getShort();
        byte[] body = new byte[length];
        buffer.get(body);
        PeerMessage message = decoded(body);
        if (message != null) {
          core.accept(new Input.FromPeer(message));
        }
      }
      buffer.compact();
    }
  }
}
