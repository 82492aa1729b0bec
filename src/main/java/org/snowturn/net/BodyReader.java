package org.snowturn.net;

import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.xnio.channels.StreamSourceChannel;

/** Reads a whole body without blocking, up to a limit. */
final class BodyReader {
  private final ByteBufferPool pool;
  private final int most;
  private final Consumer<byte[]> done;
  private final Consumer<IOException> failed;
  private final ByteArrayOutputStream out = new ByteArrayOutputStream(512);

  private BodyReader(
      ByteBufferPool pool, int most, Consumer<byte[]> done, Consumer<IOException> failed) {
    this.pool = pool;
    this.most = most;
    this.done = done;
    this.failed = failed;
  }

  static void read(
      StreamSourceChannel channel,
      ByteBufferPool pool,
      int most,
      Consumer<byte[]> done,
      Consumer<IOException> failed) {
    BodyReader reader = new BodyReader(pool, most, done, failed);
    if (!reader.readSome(channel)) {
      channel
          .getReadSetter()
          .set(
              ch -> {
                if (reader.readSome(ch)) {
                  ch.getReadSetter().set(null);
                  ch.suspendReads();
                }
              });
      channel.resumeReads();
    }
  }

  private boolean readSome(StreamSourceChannel channel) {
    boolean end = false;
    try (PooledByteBuffer pooled = pool.allocate()) {
      ByteBuffer buffer = pooled.getBuffer();
      while (true) {
        buffer.clear();
        int count = channel.read(buffer);
        if (count == 0) {
          return false;
        }
        if (count < 0) {
          end = true;
          break;
        }
        buffer.flip();
        byte[] part = new byte[buffer.remaining()];
        buffer.get(part);
        out.write(part, 0, part.length);
        if (out.size() > most) {
          throw new IOException("reply too large");
        }
      }
    } catch (IOException e) {
      failed.accept(e);
      return true;
    }
    if (end) {
      done.accept(out.toByteArray());
    }
    return true;
  }
}
