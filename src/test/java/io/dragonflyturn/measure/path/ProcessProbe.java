package io.dragonflyturn.measure.path;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Reads the resource usage of a process from {@code /proc}. */
final class ProcessProbe {
  /** Unit of the processor times in {@code /proc/PID/stat}. */
  private static final double TICK_SECONDS = 0.01;

  private static final double KILOBYTES_PER_MEGABYTE = 1024.0;

  private ProcessProbe() {}

  /** Returns the resident memory of a process in megabytes, or -1 if it is not reported. */
  static double residentMegabytes(long pid) {
    for (String line : read(pid, "status").split("\n", -1)) {
      if (line.startsWith("VmRSS:")) {
        return Double.parseDouble(line.replaceAll("[^0-9]", "")) / KILOBYTES_PER_MEGABYTE;
      }
    }
    return -1;
  }

  /** Returns the user and system processor time of a process, in seconds. */
  static double processorSeconds(long pid) {
    String stat = read(pid, "stat");
    List<String> fields = List.of(stat.substring(stat.lastIndexOf(')') + 2).split(" ", -1));
    return (Long.parseLong(fields.get(11)) + Long.parseLong(fields.get(12))) * TICK_SECONDS;
  }

  /** Returns the number of bytes that a process has read and written, including sockets. */
  static long bytesMoved(long pid) {
    long bytes = 0;
    for (String line : read(pid, "io").split("\n", -1)) {
      if (line.startsWith("rchar:") || line.startsWith("wchar:")) {
        bytes += Long.parseLong(line.replaceAll("[^0-9]", ""));
      }
    }
    return bytes;
  }

  private static String read(long pid, String file) {
    try {
      return Files.readString(Path.of("/proc", Long.toString(pid), file));
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }
}
