package org.snowturn.peer;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.snowturn.core.PeerMessage;

/**
 * The frames between controllers: a length of two bytes, the format's version, the {@linkplain
 * MessageKind kind}, the sender, the kind's own fields. Readers skip kinds they do not know and
 * ignore bytes after the fields they know, so that nodes of neighbouring versions understand each
 * other.
 */
public final class PeerCodec {
  /** The longest frame that is sent or read, in bytes. */
  public static final int MAX_FRAME_BYTES = 4096;

  /** The size of a frame's length, which does not count itself. */
  static final int LENGTH_BYTES = 2;

  private static final int VERSION = 1;
  private static final int INITIAL_BUFFER_BYTES = 64;

  private PeerCodec() {}

  /** The frame with its length. */
  public static byte[] encode(PeerMessage message) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES);
    MessageKind kind = MessageKind.of(message);
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      out.writeShort(0); // the length, which is not known yet
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
   * Reads a frame without its length; null for a kind that this version does not know.
   *
   * @throws IOException if the frame is malformed
   */
  public static PeerMessage decode(byte[] body) throws IOException {
    DataInputStream in = new DataInputStream(new ByteArrayInputStream(body));
    in.readByte(); // the version: later ones only add kinds and fields
    MessageKind kind = MessageKind.ofCode(in.readByte());
    String from = in.readUTF();
    return kind == null ? null : kind.read(from, in);
  }
}
