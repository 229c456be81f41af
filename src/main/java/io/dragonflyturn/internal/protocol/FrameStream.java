package io.dragonflyturn.internal.protocol;

import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Reads and writes frames on a socket. A frame consists of its length in four bytes, big-endian,
 * and a MessagePack value of that length.
 */
final class FrameStream implements AutoCloseable {
  /** The maximum length of a frame's content in bytes, for reads and writes. */
  static final int MAXIMUM_FRAME_BYTES = 16 * 1024 * 1024;

  private static final int LENGTH_BYTES = Integer.BYTES;

  private final Socket socket;
  private final DataInputStream input;
  private final OutputStream output;
  private final LongAdder transferredBytes;
  private final ReentrantLock writeLock = new ReentrantLock();

  FrameStream(Socket socket, LongAdder transferredBytes) throws IOException {
    this.socket = socket;
    this.transferredBytes = transferredBytes;
    socket.setTcpNoDelay(true);
    InputStream raw = socket.getInputStream();
    this.input = new DataInputStream(new BufferedInputStream(raw));
    this.output = socket.getOutputStream();
  }

  /**
   * Reads the next frame.
   *
   * @throws DragonflyturnException with {@link ResultCode#FRAME_TOO_LARGE} or {@link
   *     ResultCode#FRAME_BROKEN}; the stream is unusable afterwards
   */
  Frame read() throws IOException {
    int length = input.readInt();
    if (length <= 0 || length > MAXIMUM_FRAME_BYTES) {
      throw new DragonflyturnException(
          ResultCode.FRAME_TOO_LARGE,
          "The frame length is "
              + length
              + " bytes; it must be 1 to "
              + MAXIMUM_FRAME_BYTES
              + ". Check that the peer speaks this protocol.");
    }
    byte[] content = input.readNBytes(length);
    if (content.length < length) {
      throw new EOFException("The peer closed the connection within a frame.");
    }
    transferredBytes.add(LENGTH_BYTES + (long) length);
    return MessagePackCodec.decode(content, Frame.class);
  }

  /** Writes a frame atomically with respect to other threads. */
  void write(Frame frame) throws IOException {
    byte[] content = MessagePackCodec.encode(frame);
    if (content.length > MAXIMUM_FRAME_BYTES) {
      throw new DragonflyturnException(
          ResultCode.FRAME_TOO_LARGE,
          "A frame of "
              + content.length
              + " bytes exceeds the maximum of "
              + MAXIMUM_FRAME_BYTES
              + ".");
    }
    byte[] frameBytes =
        ByteBuffer.allocate(LENGTH_BYTES + content.length)
            .putInt(content.length)
            .put(content)
            .array();
    writeLock.lock();
    try {
      output.write(frameBytes);
      output.flush();
    } finally {
      writeLock.unlock();
    }
    transferredBytes.add(frameBytes.length);
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException ignored) {
      // The socket is not used after a failed close.
    }
  }
}
