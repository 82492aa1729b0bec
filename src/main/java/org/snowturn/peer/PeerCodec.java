package org.snowturn.peer;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.snowturn.core.PeerMessage;

/**
 * Encodes and decodes the frames that controllers exchange. A frame consists of a length of two
 * bytes, the version of the format, the {@linkplain MessageKind kind} of message, the sender, and
 * the fields of that kind. For compatibility between adjacent versions, readers skip unknown kinds
 * and ignore bytes after the last known field.
 */
public final class PeerCodec {
  /** Maximum size in bytes of a frame that is sent or read. */
  public static final int MAX_FRAME_BYTES = 4096;

  /** Size in bytes of a frame's length field; the length does not include the field itself. */
  static final int LENGTH_BYTES = 2;

  private static final int VERSION = 1;
  private static final int INITIAL_BUFFER_BYTES = 64;

  private PeerCodec() {}

  /** Returns the frame for a message, including the length field. */
  public static byte[] encode(PeerMessage message) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES);
    MessageKind kind = MessageKind.of(message);
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      out.writeShort(0); // placeholder for the length
      out.writeByte(VERSION);
      out.writeByte(kind.code());
      out.writeUTF(message.from());
      kind.writeFields(out, message);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    byte[] frame = bytes.toByteArray();
    int length = frame.length - LENGTH_BYTES;
    frame[0] = (byte) (length >>> Byte.SIZE);
    frame[1] = (byte) length;
    return frame;
  }

  /**
   * Decodes a frame.
   *
   * @param body the frame without its length field
   * @return the message, or null if this version does not define its kind
   * @throws IOException if the frame is malformed
   */
  public static PeerMessage decode(byte[] body) throws IOException {
    DataInputStream in = new DataInputStream(new ByteArrayInputStream(body));
    in.readByte(); // the version is not checked: later versions only add kinds and fields
    MessageKind kind = MessageKind.ofCode(in.readByte());
    String from = in.readUTF();
    return kind == null ? null : kind.read(from, in);
  }
}
