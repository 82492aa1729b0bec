package org.snowturn.peer;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.snowturn.core.PeerRecord;

/**
 * Records between controllers: a length, the format's version, the kind, the fields. Readers skip
 * kinds they do not know and ignore bytes after the fields they know, so that nodes of neighbouring
 * versions understand each other.
 */
public final class PeerCodec {
  /** Longest record that is read. */
  public static final int MAX = 4096;

  private static final int VERSION = 1;
  private static final int RESIGN = 2;
  private static final int PROGRESS = 3;

  private PeerCodec() {}

  /** The record with its length. */
  public static byte[] encode(PeerRecord r) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(64);
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      out.writeShort(0);
      out.writeByte(VERSION);
      if (r instanceof PeerRecord.Resign x) {
        out.writeByte(RESIGN);
        out.writeLong(x.lease());
        out.writeLong(x.token());
      } else if (r instanceof PeerRecord.Progress x) {
        out.writeByte(PROGRESS);
        out.writeUTF(x.job());
        out.writeInt(x.done());
        out.writeInt(x.running());
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    byte[] all = bytes.toByteArray();
    int length = all.length - 2;
    all[0] = (byte) (length >>> 8);
    all[1] = (byte) length;
    return all;
  }

  /** Reads a record without its length; null for one that this version does not know. */
  public static PeerRecord decode(byte[] body) throws IOException {
    DataInputStream in = new DataInputStream(new ByteArrayInputStream(body));
    in.readByte();
    return switch (in.readByte()) {
      case RESIGN -> new PeerRecord.Resign(in.readLong(), in.readLong());
      case PROGRESS -> new PeerRecord.Progress(in.readUTF(), in.readInt(), in.readInt());
      default -> null;
    };
  }
}
