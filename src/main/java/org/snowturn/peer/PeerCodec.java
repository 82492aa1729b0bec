package org.snowturn.peer;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.snowturn.core.Outcome;
import org.snowturn.core.PeerRecord;
import org.snowturn.core.admission.Needs;
import org.snowturn.core.reach.Connectivity;
import org.snowturn.wire.Json;

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
  private static final int REACHES = 6;
  private static final int SAMPLE = 7;
  private static final int RELAY = 8;
  private static final int RELAYED = 9;
  private static final int NEED = 10;
  private static final int ASK_CANCELLED = 11;
  private static final int CANCELLED = 12;
  private static final int OFFER = 13;
  private static final int LEASE_ENDED = 14;

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
      } else if (r instanceof PeerRecord.Reaches x) {
        head(out, REACHES, r);
        out.writeInt(x.reach().stateMs());
        out.writeInt(x.reach().workersMs());
      } else if (r instanceof PeerRecord.Sample x) {
        head(out, SAMPLE, r);
        texts(out, x.workers());
      } else if (r instanceof PeerRecord.Relay x) {
        head(out, RELAY, r);
        out.writeUTF(x.to());
        out.writeLong(x.seq());
        out.writeUTF(x.method());
        out.writeUTF(x.path());
        out.writeInt(x.timeoutMs());
        json(out, x.body());
      } else if (r instanceof PeerRecord.Relayed x) {
        head(out, RELAYED, r);
        out.writeUTF(x.to());
        out.writeLong(x.seq());
        out.writeByte(x.outcome().ordinal());
        out.writeInt(x.status());
        json(out, x.body());
      } else if (r instanceof PeerRecord.Need x) {
        head(out, NEED, r);
        out.writeDouble(x.need().requests());
        out.writeDouble(x.need().submitted());
        out.writeDouble(x.need().led());
      } else if (r instanceof PeerRecord.Offer x) {
        head(out, OFFER, r);
        out.writeLong(x.lease());
        out.writeLong(x.token());
      } else if (r instanceof PeerRecord.LeaseEnded x) {
        head(out, LEASE_ENDED, r);
        out.writeLong(x.token());
      } else if (r instanceof PeerRecord.AskCancelled x) {
        head(out, ASK_CANCELLED, r);
        out.writeLong(x.seq());
        out.writeShort(x.heard().size());
        for (Map.Entry<String, PeerRecord.Heard> e : x.heard().entrySet()) {
          out.writeUTF(e.getKey());
          out.writeUTF(e.getValue().life());
          out.writeLong(e.getValue().upTo());
        }
      } else if (r instanceof PeerRecord.Cancelled x) {
        head(out, CANCELLED, r);
        out.writeUTF(x.to());
        out.writeLong(x.seq());
        out.writeUTF(x.life());
        out.writeLong(x.after());
        out.writeLong(x.last());
        out.writeLong(x.dropped());
        out.writeLong(x.droppedAgeMs());
        texts(out, x.jobs());
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
      case REACHES -> new PeerRecord.Reaches(from, new Connectivity(in.readInt(), in.readInt()));
      case SAMPLE -> new PeerRecord.Sample(from, texts(in));
      case RELAY -> {
        String to = in.readUTF();
        long seq = in.readLong();
        String method = in.readUTF();
        String path = in.readUTF();
        int timeoutMs = in.readInt();
        yield new PeerRecord.Relay(from, to, seq, method, path, json(in), timeoutMs);
      }
      case RELAYED -> {
        String to = in.readUTF();
        long seq = in.readLong();
        int outcome = in.readByte();
        int status = in.readInt();
        JsonNode answer = json(in);
        // An outcome that a later version may know tells this one nothing.
        Outcome known =
            outcome >= 0 && outcome < Outcome.values().length
                ? Outcome.values()[outcome]
                : Outcome.UNKNOWN;
        yield new PeerRecord.Relayed(from, to, seq, known, status, answer);
      }
      case NEED ->
          new PeerRecord.Need(
              from, new Needs.Need(in.readDouble(), in.readDouble(), in.readDouble()));
      case OFFER -> new PeerRecord.Offer(from, in.readLong(), in.readLong());
      case LEASE_ENDED -> new PeerRecord.LeaseEnded(from, in.readLong());
      case ASK_CANCELLED -> new PeerRecord.AskCancelled(from, in.readLong(), heard(in));
      case CANCELLED ->
          new PeerRecord.Cancelled(
              from,
              in.readUTF(),
              in.readLong(),
              in.readUTF(),
              in.readLong(),
              in.readLong(),
              in.readLong(),
              in.readLong(),
              texts(in));
      default -> null;
    };
  }

  private static Map<String, PeerRecord.Heard> heard(DataInputStream in) throws IOException {
    int n = in.readUnsignedShort();
    Map<String, PeerRecord.Heard> out = new HashMap<>();
    for (int i = 0; i < n; i++) {
      out.put(in.readUTF(), new PeerRecord.Heard(in.readUTF(), in.readLong()));
    }
    return Map.copyOf(out);
  }

  private static void texts(DataOutputStream out, List<String> all) throws IOException {
    out.writeShort(all.size());
    for (String s : all) {
      out.writeUTF(s);
    }
  }

  private static List<String> texts(DataInputStream in) throws IOException {
    int n = in.readUnsignedShort();
    List<String> out = new ArrayList<>();
    for (int i = 0; i < n; i++) {
      out.add(in.readUTF());
    }
    return List.copyOf(out);
  }

  private static void json(DataOutputStream out, JsonNode body) throws IOException {
    byte[] bytes = body == null ? new byte[0] : Json.bytes(body);
    out.writeShort(bytes.length);
    out.write(bytes);
  }

  private static JsonNode json(DataInputStream in) throws IOException {
    byte[] bytes = new byte[in.readUnsignedShort()];
    in.readFully(bytes);
    return bytes.length == 0 ? null : Json.parse(bytes);
  }

  private static void head(DataOutputStream out, int kind, PeerRecord r) throws IOException {
    out.writeByte(kind);
    out.writeUTF(r.from());
  }
}
