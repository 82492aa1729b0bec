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
import org.snowturn.core.PeerMessage;
import org.snowturn.core.admission.RateDemands;
import org.snowturn.core.connectivity.Connectivity;
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
  public static byte[] encode(PeerMessage message) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(64);
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      out.writeShort(0);
      out.writeByte(VERSION);
      if (message instanceof PeerMessage.StandbyStatus x) {
        head(out, STATUS, message);
        out.writeBoolean(x.stateServiceAnswers());
      } else if (message instanceof PeerMessage.PromiseRequest x) {
        head(out, ASK, message);
        out.writeLong(x.requestId());
        out.writeLong(x.token());
        out.writeBoolean(x.stateServiceTrouble());
      } else if (message instanceof PeerMessage.Promise x) {
        head(out, PROMISE, message);
        out.writeLong(x.requestId());
        out.writeLong(x.token());
        out.writeInt(x.durationMs());
        out.writeBoolean(x.stateServiceAnswers());
      } else if (message instanceof PeerMessage.StepDown x) {
        head(out, RESIGN, message);
        out.writeLong(x.lease());
        out.writeLong(x.token());
      } else if (message instanceof PeerMessage.JobProgress x) {
        head(out, PROGRESS, message);
        out.writeUTF(x.job());
        out.writeInt(x.done());
        out.writeInt(x.running());
      } else if (message instanceof PeerMessage.ConnectivityReport x) {
        head(out, REACHES, message);
        out.writeInt(x.connectivity().stateMs());
        out.writeInt(x.connectivity().workersMs());
      } else if (message instanceof PeerMessage.WorkerSample x) {
        head(out, SAMPLE, message);
        texts(out, x.workers());
      } else if (message instanceof PeerMessage.RelayRequest x) {
        head(out, RELAY, message);
        out.writeUTF(x.to());
        out.writeLong(x.requestId());
        out.writeUTF(x.method());
        out.writeUTF(x.path());
        out.writeInt(x.timeoutMs());
        json(out, x.body());
      } else if (message instanceof PeerMessage.RelayReply x) {
        head(out, RELAYED, message);
        out.writeUTF(x.to());
        out.writeLong(x.requestId());
        out.writeByte(x.outcome().ordinal());
        out.writeInt(x.status());
        json(out, x.body());
      } else if (message instanceof PeerMessage.RateDemandReport x) {
        head(out, NEED, message);
        out.writeDouble(x.demand().requests());
        out.writeDouble(x.demand().submitted());
        out.writeDouble(x.demand().led());
      } else if (message instanceof PeerMessage.LeaseHandover x) {
        head(out, OFFER, message);
        out.writeLong(x.lease());
        out.writeLong(x.token());
      } else if (message instanceof PeerMessage.LeaseEnded x) {
        head(out, LEASE_ENDED, message);
        out.writeLong(x.token());
      } else if (message instanceof PeerMessage.CancellationsRequest x) {
        head(out, ASK_CANCELLED, message);
        out.writeLong(x.requestId());
        out.writeShort(x.logPositions().size());
        for (Map.Entry<String, PeerMessage.LogPosition> e : x.logPositions().entrySet()) {
          out.writeUTF(e.getKey());
          out.writeUTF(e.getValue().incarnation());
          out.writeLong(e.getValue().lastReceived());
        }
      } else if (message instanceof PeerMessage.CancellationsReply x) {
        head(out, CANCELLED, message);
        out.writeUTF(x.to());
        out.writeLong(x.requestId());
        out.writeUTF(x.incarnation());
        out.writeLong(x.after());
        out.writeLong(x.last());
        out.writeLong(x.lastDropped());
        out.writeLong(x.lastDroppedAgeMs());
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
  public static PeerMessage decode(byte[] body) throws IOException {
    DataInputStream in = new DataInputStream(new ByteArrayInputStream(body));
    in.readByte();
    int kind = in.readByte();
    String from = in.readUTF();
    return switch (kind) {
      case STATUS -> new PeerMessage.StandbyStatus(from, in.readBoolean());
      case ASK ->
          new PeerMessage.PromiseRequest(from, in.readLong(), in.readLong(), in.readBoolean());
      case PROMISE ->
          new PeerMessage.Promise(
              from, in.readLong(), in.readLong(), in.readInt(), in.readBoolean());
      case RESIGN -> new PeerMessage.StepDown(from, in.readLong(), in.readLong());
      case PROGRESS -> new PeerMessage.JobProgress(from, in.readUTF(), in.readInt(), in.readInt());
      case REACHES ->
          new PeerMessage.ConnectivityReport(from, new Connectivity(in.readInt(), in.readInt()));
      case SAMPLE -> new PeerMessage.WorkerSample(from, texts(in));
      case RELAY -> {
        String to = in.readUTF();
        long seq = in.readLong();
        String method = in.readUTF();
        String path = in.readUTF();
        int timeoutMs = in.readInt();
        yield new PeerMessage.RelayRequest(from, to, seq, method, path, json(in), timeoutMs);
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
        yield new PeerMessage.RelayReply(from, to, seq, known, status, answer);
      }
      case NEED ->
          new PeerMessage.RateDemandReport(
              from, new RateDemands.Demand(in.readDouble(), in.readDouble(), in.readDouble()));
      case OFFER -> new PeerMessage.LeaseHandover(from, in.readLong(), in.readLong());
      case LEASE_ENDED -> new PeerMessage.LeaseEnded(from, in.readLong());
      case ASK_CANCELLED -> new PeerMessage.CancellationsRequest(from, in.readLong(), heard(in));
      case CANCELLED ->
          new PeerMessage.CancellationsReply(
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

  private static Map<String, PeerMessage.LogPosition> heard(DataInputStream in) throws IOException {
    int n = in.readUnsignedShort();
    Map<String, PeerMessage.LogPosition> out = new HashMap<>();
    for (int i = 0; i < n; i++) {
      out.put(in.readUTF(), new PeerMessage.LogPosition(in.readUTF(), in.readLong()));
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

  private static void head(DataOutputStream out, int kind, PeerMessage message) throws IOException {
    out.writeByte(kind);
    out.writeUTF(message.from());
  }
}
