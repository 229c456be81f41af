import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a case: one line for each thing that was sent, answered or run. */
final class Journal implements AutoCloseable {
  private static final long START_NANOS = System.nanoTime();

  private final PrintWriter out;

  Journal(Path file) {
    try {
      out = new PrintWriter(Files.newBufferedWriter(file));
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  /** Milliseconds since the start of the case, on the steady clock. */
  static long now() {
    return (System.nanoTime() - START_NANOS) / 1_000_000;
  }

  synchronized void line(String format, Object... arguments) {
    out.printf("%7.3f  %s%n", now() / 1000.0, String.format(format, arguments));
    out.flush();
  }

  /** Writes a line to the record and to the standard output. */
  void say(String format, Object... arguments) {
    line(format, arguments);
    System.out.printf("%7.3f  %s%n", now() / 1000.0, String.format(format, arguments));
  }

  @Override
  public void close() {
    out.close();
  }
}
