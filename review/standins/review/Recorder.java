package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered, and run to the record of a case, with the time in seconds. */
final class Recorder implements AutoCloseable {
  private final PrintWriter output;
  private final long startNanos = System.nanoTime();

  Recorder(Path file) {
    try {
      output = new PrintWriter(Files.newBufferedWriter(file), true);
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  /** Returns the time since the start of the case, in milliseconds of the steady clock. */
  long nowMillis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void write(String format, Object... arguments) {
    String text = String.format(Locale.ROOT, format, arguments);
    output.println(String.format(Locale.ROOT, "%8.3f s  %s", nowMillis() / 1000.0, text));
  }

  @Override
  public void close() {
    output.close();
  }
}
