package org.snowturn.net;

import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.xnio.channels.StreamSourceChannel;

/** Reads a complete response body without blocking; fails if the body exceeds a limit. */
final class BodyReader {
  private static final int INITIAL_CAPACITY_BYTES = 512;

  private final ByteBufferPool pool;
  private final int maxBytes;
  private final Consumer<byte[]> onBody;
  private final Consumer<IOException> onFailure;
  private final ByteArrayOutputStream received = new ByteArrayOutputStream(INITIAL_CAPACITY_BYTES);

  private BodyReader(
      ByteBufferPool pool, int maxBytes, Consumer<byte[]> onBody, Consumer<IOException> onFailure) {
    this.pool = pool;
    this.maxBytes = maxBytes;
    this.onBody = onBody;
    this.onFailure = onFailure;
  }

  /**
   * Reads a body on the I/O thread of its channel. Calls exactly one of the two callbacks once: at
   * the end of the body or at the first failure.
   *
   * @param pool pool of the buffers to read into
   * @param maxBytes size of the largest accepted body, in bytes
   * @param onBody handles the complete body
   * @param onFailure handles a read error or a body that is too large
   */
  static void read(
      StreamSourceChannel channel,
      ByteBufferPool pool,
      int maxBytes,
      Consumer<byte[]> onBody,
      Consumer<IOException> onFailure) {
    BodyReader reader = new BodyReader(pool, maxBytes, onBody, onFailure);
    if (!reader.readAvailable(channel)) {
      channel
          .getReadSetter()
          .set(
              readable -> {
                if (reader.readAvailable(readable)) {
                  readable.getReadSetter().set(null);
                  readable.suspendReads();
                }
              });
      channel.resumeReads();
    }
  }

  /** Returns true once the body is complete or has failed, false if more bytes must arrive. */
  private boolean readAvailable(StreamSourceChannel channel) {
    boolean isComplete = false;
    try (PooledByteBuffer pooled = pool.allocate()) {
      ByteBuffer buffer = pooled.getBuffer();
      while (true) {
        buffer.clear();
        int count = channel.read(buffer);
        if (count == 0) {
          return false;
        }
        if (count < 0) {
          isComplete = true;
          break;
        }
        buffer.flip();
        byte[] part = new byte[buffer.remaining()];
        buffer.get(part);
        received.write(part, 0, part.length);
        if (received.size() > maxBytes) {
          throw new IOException("response body exceeds " + maxBytes + " bytes");
        }
      }
    } catch (IOException e) {
      onFailure.accept(e);
      return true;
    }
    if (isComplete) {
      onBody.accept(received.toByteArray());
    }
    return true;
  }
}
