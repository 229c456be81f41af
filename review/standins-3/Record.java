import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a case: one line for each message, task, and verdict, with seconds since start. */
final class Record {
  private final long startNanos = System.nanoTime();
  private final PrintStream output;

  Record(Path file) {
    try {
      output = new PrintStream(file.toFile(), "UTF-8");
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  /** Milliseconds since the record was opened. */
  long now() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void line(String who, String text) {
    output.printf(Locale.ROOT, "%8.3f %-12s %s%n", now() / 1000.0, who, text);
    output.flush();
  }
}
