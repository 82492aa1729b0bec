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
  private static final int STATUS = 1;
  private static final int RESIGN = 2;
  private static final int PROGRESS = 3;
  private static final int ASK = 4;
  private static final int PROMISE = 5;

  private PeerCodec() {}

  /** The record with its length. */
  public static byte[] encode(PeerRecord r) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(64);
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      out.writeShort(0);
      out.writeByte(VERSION);
      if (r instanceof PeerRecord.Status x) {
        head(out, STATUS, r);
        out.writeBoolean(x.stateOk());
      } else if (r instanceof PeerRecord.Ask x) {
        head(out, ASK, r);
        out.writeLong(x.seq());
        out.writeLong(x.token());
        out.writeBoolean(x.trouble());
      } else if (r instanceof PeerRecord.Promise x) {
        head(out, PROMISE, r);
        out.writeLong(x.seq());
        out.writeLong(x.token());
        out.writeInt(x.durationMs());
        out.writeBoolean(x.stateOk());
      } else if (r instanceof PeerRecord.Resign x) {
        head(out, RESIGN, r);
        out.writeLong(x.lease());
        out.writeLong(x.token());
      } else if (r instanceof PeerRecord.Progress x) {
        head(out, PROGRESS, r);
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
    int kind = in.readByte();
    String from = in.readUTF();
    return switch (kind) {
      case STATUS -> new PeerRecord.Status(from, in.readBoolean());
      case ASK -> new PeerRecord.Ask(from, in.readLong(), in.readLong(), in.readBoolean());
      case PROMISE ->
          new PeerRecord.Promise(
              from, in.readLong(), in.readLong(), in.readInt(), in.readBoolean());
      case RESIGN -> new PeerRecord.Resign(from, in.readLong(), in.readLong());
      case PROGRESS -> new PeerRecord.Progress(from, in.readUTF(), in.readInt(), in.readInt());
      default -> null;
    };
  }

  private static void head(DataOutputStream out, int kind, PeerRecord r) throws IOException {
    out.writeByte(kind);
    out.writeUTF(r.from());
  }
}
