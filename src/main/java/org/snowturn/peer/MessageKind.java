package org.snowturn.peer;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import org.snowturn.core.Outcome;
import org.snowturn.core.PeerMessage;
import org.snowturn.core.admission.RateDemands;
import org.snowturn.core.connectivity.Connectivity;

/**
 * Kinds of peer messages, each with its code on the wire and the format of the fields that follow
 * the sender. For compatibility between versions, the code of a removed kind is never reused and
 * new fields are only added at the end.
 */
enum MessageKind {
  STANDBY_STATUS(
      1,
      PeerMessage.StandbyStatus.class,
      (out, message) -> out.writeBoolean(message.stateServiceAnswers()),
      (from, in) -> new PeerMessage.StandbyStatus(from, in.readBoolean())),
  STEP_DOWN(
      2,
      PeerMessage.StepDown.class,
      (out, message) -> writeLeaseAndToken(out, message.leaseId(), message.token()),
      (from, in) -> new PeerMessage.StepDown(from, in.readLong(), in.readLong())),
  JOB_PROGRESS(
      3, PeerMessage.JobProgress.class, MessageKind::writeProgress, MessageKind::readProgress),
  PROMISE_REQUEST(
      4,
      PeerMessage.PromiseRequest.class,
      MessageKind::writePromiseRequest,
      MessageKind::readPromiseRequest),
  PROMISE(5, PeerMessage.Promise.class, MessageKind::writePromise, MessageKind::readPromise),
  CONNECTIVITY_REPORT(
      6,
      PeerMessage.ConnectivityReport.class,
      MessageKind::writeConnectivity,
      MessageKind::readConnectivity),
  WORKER_SAMPLE(
      7,
      PeerMessage.WorkerSample.class,
      (out, message) -> FieldCodec.writeTexts(out, message.addresses()),
      (from, in) -> new PeerMessage.WorkerSample(from, FieldCodec.readTexts(in))),
  RELAY_REQUEST(
      8,
      PeerMessage.RelayRequest.class,
      MessageKind::writeRelayRequest,
      MessageKind::readRelayRequest),
  RELAY_REPLY(
      9, PeerMessage.RelayReply.class, MessageKind::writeRelayReply, MessageKind::readRelayReply),
  RATE_DEMAND_REPORT(
      10, PeerMessage.RateDemandReport.class, MessageKind::writeDemand, MessageKind::readDemand),
  CANCELLATIONS_REQUEST(
      11,
      PeerMessage.CancellationsRequest.class,
      MessageKind::writeCancellationsRequest,
      MessageKind::readCancellationsRequest),
  CANCELLATIONS_REPLY(
      12,
      PeerMessage.CancellationsReply.class,
      MessageKind::writeCancellationsReply,
      MessageKind::readCancellationsReply),
  LEASE_HANDOVER(
      13,
      PeerMessage.LeaseHandover.class,
      (out, message) -> writeLeaseAndToken(out, message.leaseId(), message.token()),
      (from, in) -> new PeerMessage.LeaseHandover(from, in.readLong(), in.readLong())),
  LEASE_ENDED(
      14,
      PeerMessage.LeaseEnded.class,
      (out, message) -> out.writeLong(message.token()),
      (from, in) -> new PeerMessage.LeaseEnded(from, in.readLong())),
  PROGRESS_REQUEST(
      15,
      PeerMessage.ProgressRequest.class,
      (out, message) -> FieldCodec.writeTexts(out, message.jobs()),
      (from, in) -> new PeerMessage.ProgressRequest(from, FieldCodec.readTexts(in)));

  /** Writes the fields that follow the sender. */
  private interface FieldWriter<T extends PeerMessage> {
    void write(DataOutputStream out, T message) throws IOException;
  }

  /** Reads the fields that follow the sender. */
  private interface FieldReader<T extends PeerMessage> {
    T read(String from, DataInputStream in) throws IOException;
  }

  private static final Map<Class<? extends PeerMessage>, MessageKind> BY_TYPE = new HashMap<>();
  private static final Map<Integer, MessageKind> BY_CODE = new HashMap<>();

  static {
    for (MessageKind kind : values()) {
      BY_TYPE.put(kind.type, kind);
      BY_CODE.put(kind.code, kind);
    }
  }

  private final int code;
  private final Class<? extends PeerMessage> type;

  @SuppressWarnings("ImmutableEnumChecker") // stateless functions
  private final FieldWriter<PeerMessage> writer;

  @SuppressWarnings("ImmutableEnumChecker") // stateless functions
  private final FieldReader<? extends PeerMessage> reader;

  <T extends PeerMessage> MessageKind(
      int code, Class<T> type, FieldWriter<T> writer, FieldReader<T> reader) {
    this.code = code;
    this.type = type;
    this.writer = (out, message) -> writer.write(out, type.cast(message));
    this.reader = reader;
  }

  /** Returns the kind of a message. */
  static MessageKind of(PeerMessage message) {
    return BY_TYPE.get(message.getClass());
  }

  /** Returns the kind with this code; null if this version does not define the code. */
  static MessageKind ofCode(int code) {
    return BY_CODE.get(code);
  }

  int code() {
    return code;
  }

  void writeFields(DataOutputStream out, PeerMessage message) throws IOException {
    writer.write(out, message);
  }

  PeerMessage read(String from, DataInputStream in) throws IOException {
    return reader.read(from, in);
  }

  private static void writeLeaseAndToken(DataOutputStream out, long lease, long token)
      throws IOException {
    out.writeLong(lease);
    out.writeLong(token);
  }

  private static void writeProgress(DataOutputStream out, PeerMessage.JobProgress message)
      throws IOException {
    out.writeUTF(message.job());
    out.writeInt(message.done());
    out.writeInt(message.running());
  }

  private static PeerMessage.JobProgress readProgress(String from, DataInputStream in)
      throws IOException {
    return new PeerMessage.JobProgress(from, in.readUTF(), in.readInt(), in.readInt());
  }

  private static void writePromiseRequest(DataOutputStream out, PeerMessage.PromiseRequest message)
      throws IOException {
    out.writeLong(message.requestId());
    out.writeLong(message.token());
    out.writeBoolean(message.isStateServiceUnresponsive());
  }

  private static PeerMessage.PromiseRequest readPromiseRequest(String from, DataInputStream in)
      throws IOException {
    return new PeerMessage.PromiseRequest(from, in.readLong(), in.readLong(), in.readBoolean());
  }

  private static void writePromise(DataOutputStream out, PeerMessage.Promise message)
      throws IOException {
    out.writeLong(message.requestId());
    out.writeLong(message.token());
    out.writeInt(message.durationMs());
    out.writeBoolean(message.stateServiceAnswers());
  }

  private static PeerMessage.Promise readPromise(String from, DataInputStream in)
      throws IOException {
    return new PeerMessage.Promise(
        from, in.readLong(), in.readLong(), in.readInt(), in.readBoolean());
  }

  private static void writeConnectivity(
      DataOutputStream out, PeerMessage.ConnectivityReport message) throws IOException {
    out.writeInt(message.connectivity().sinceStateAnswerMs());
    out.writeInt(message.connectivity().sinceWorkerHeardMs());
  }

  private static PeerMessage.ConnectivityReport readConnectivity(String from, DataInputStream in)
      throws IOException {
    return new PeerMessage.ConnectivityReport(from, new Connectivity(in.readInt(), in.readInt()));
  }

  private static void writeRelayRequest(DataOutputStream out, PeerMessage.RelayRequest message)
      throws IOException {
    out.writeUTF(message.to());
    out.writeLong(message.requestId());
    out.writeUTF(message.method());
    out.writeUTF(message.path());
    out.writeInt(message.timeoutMs());
    FieldCodec.writeJson(out, message.body());
  }

  private static PeerMessage.RelayRequest readRelayRequest(String from, DataInputStream in)
      throws IOException {
    String to = in.readUTF();
    long requestId = in.readLong();
    String method = in.readUTF();
    String path = in.readUTF();
    int timeoutMs = in.readInt();
    return new PeerMessage.RelayRequest(
        from, to, requestId, method, path, FieldCodec.readJson(in), timeoutMs);
  }

  private static void writeRelayReply(DataOutputStream out, PeerMessage.RelayReply message)
      throws IOException {
    out.writeUTF(message.to());
    out.writeLong(message.requestId());
    FieldCodec.writeOutcome(out, message.outcome());
    out.writeInt(message.status());
    FieldCodec.writeJson(out, message.body());
  }

  private static PeerMessage.RelayReply readRelayReply(String from, DataInputStream in)
      throws IOException {
    String to = in.readUTF();
    long requestId = in.readLong();
    Outcome outcome = FieldCodec.readOutcome(in);
    int status = in.readInt();
    return new PeerMessage.RelayReply(
        from, to, requestId, outcome, status, FieldCodec.readJson(in));
  }

  private static void writeDemand(DataOutputStream out, PeerMessage.RateDemandReport message)
      throws IOException {
    out.writeDouble(message.demand().requests());
    out.writeDouble(message.demand().submissions());
    out.writeDouble(message.demand().leaderWrites());
  }

  private static PeerMessage.RateDemandReport readDemand(String from, DataInputStream in)
      throws IOException {
    return new PeerMessage.RateDemandReport(
        from, new RateDemands.Demand(in.readDouble(), in.readDouble(), in.readDouble()));
  }

  private static void writeCancellationsRequest(
      DataOutputStream out, PeerMessage.CancellationsRequest message) throws IOException {
    out.writeLong(message.requestId());
    FieldCodec.writePositions(out, message.logPositions());
  }

  private static PeerMessage.CancellationsRequest readCancellationsRequest(
      String from, DataInputStream in) throws IOException {
    return new PeerMessage.CancellationsRequest(from, in.readLong(), FieldCodec.readPositions(in));
  }

  private static void writeCancellationsReply(
      DataOutputStream out, PeerMessage.CancellationsReply message) throws IOException {
    out.writeUTF(message.to());
    out.writeLong(message.requestId());
    out.writeUTF(message.incarnation());
    out.writeLong(message.precedingNumber());
    out.writeLong(message.lastNumber());
    out.writeLong(message.lastDroppedNumber());
    out.writeLong(message.lastDroppedAgeMs());
    FieldCodec.writeTexts(out, message.jobs());
  }

  private static PeerMessage.CancellationsReply readCancellationsReply(
      String from, DataInputStream in) throws IOException {
    return new PeerMessage.CancellationsReply(
        from,
        in.readUTF(),
        in.readLong(),
        in.readUTF(),
        in.readLong(),
        in.readLong(),
        in.readLong(),
        in.readLong(),
        FieldCodec.readTexts(in));
  }
}
