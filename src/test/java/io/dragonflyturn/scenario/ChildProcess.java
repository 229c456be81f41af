package io.dragonflyturn.scenario;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** A main class of the project that runs as a process of its own. */
public final class ChildProcess implements AutoCloseable {
  private static final long READY_SECONDS = 60;
  private static final long END_SECONDS = 40;
  private static final List<String> JVM_FLAGS =
      List.of(
          "-Xmx48m",
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1",
          "-Xss256k",
          "-Djava.util.logging.manager=org.jboss.logmanager.LogManager");

  private static final Set<Process> RUNNING = new HashSet<>();
  private static boolean ending;

  static {
    Runtime.getRuntime().addShutdownHook(new Thread(ChildProcess::endRunning));
  }

  private final String name;
  private final Process process;
  private final List<String> readyLines = new ArrayList<>();
  private final CountDownLatch ready = new CountDownLatch(1);
  private volatile boolean endedEarly;
  private boolean frozen;

  private ChildProcess(String name, Process process) {
    this.name = name;
    this.process = process;
  }

  /**
   * Starts a main class without waiting for it.
   *
   * @param name names the process in messages
   * @param lastReadyLine how the line begins that says that the process serves
   */
  public static ChildProcess start(
      String name, Class<?> mainClass, String lastReadyLine, List<String> arguments) {
    List<String> command = command(mainClass, arguments);
    try {
      Process process =
          new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.DISCARD).start();
      remember(process);
      ChildProcess child = new ChildProcess(name, process);
      Thread.ofVirtual().start(() -> child.readOutput(lastReadyLine));
      return child;
    } catch (IOException failure) {
      throw new IllegalStateException(name + " did not start.", failure);
    }
  }

  /**
   * Starts a main class whose output goes to a file; when it serves is for the caller to ask.
   *
   * @param name names the process in messages
   * @param environment variables that the process gets beside those of this one
   */
  public static ChildProcess startLogging(
      String name, Class<?> mainClass, Map<String, String> environment, Path log) {
    ProcessBuilder builder = new ProcessBuilder(command(mainClass, List.of()));
    builder.environment().putAll(environment);
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    try {
      Process process = builder.start();
      remember(process);
      return new ChildProcess(name, process);
    } catch (IOException failure) {
      throw new IllegalStateException(name + " did not start.", failure);
    }
  }

  private static List<String> command(Class<?> mainClass, List<String> arguments) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(JVM_FLAGS);
    command.add("-cp");
    command.add(System.getProperty("java.class.path"));
    command.add(mainClass.getName());
    command.addAll(arguments);
    return command;
  }

  /** Waits until the process serves, and returns the lines that say so. */
  public List<String> awaitReady() {
    try {
      if (!ready.await(READY_SECONDS, TimeUnit.SECONDS)) {
        throw new IllegalStateException(name + " was not ready in time.");
      }
      if (endedEarly) {
        throw new IllegalStateException(
            name + " ended with status " + awaitEnd() + " before it was ready.");
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(interrupted);
    }
    synchronized (readyLines) {
      return List.copyOf(readyLines);
    }
  }

  /** Returns the number of the process. */
  public long pid() {
    return process.pid();
  }

  /** Stops the process in its tracks until {@link #thaw}. */
  public void freeze() {
    signal("STOP");
    frozen = true;
  }

  /** Lets a frozen process go on. */
  public void thaw() {
    if (frozen) {
      signal("CONT");
      frozen = false;
    }
  }

  /** Ends the process at once. */
  public void kill() {
    process.destroyForcibly();
    awaitEnd();
  }

  /** Asks the process to stop; its output stays open, which Process.destroy would close. */
  public void terminate() {
    process.toHandle().destroy();
  }

  /** Waits for the end of the process and returns its exit status. */
  public int awaitEnd() {
    try {
      if (!process.waitFor(END_SECONDS, TimeUnit.SECONDS)) {
        throw new IllegalStateException(name + " did not end in time.");
      }
      return process.exitValue();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(interrupted);
    }
  }

  public boolean isAlive() {
    return process.isAlive();
  }

  @Override
  public void close() {
    process.destroyForcibly();
  }

  private static void remember(Process process) {
    synchronized (RUNNING) {
      if (ending) {
        process.destroyForcibly();
      }
      RUNNING.add(process);
    }
    process.onExit().thenAccept(ChildProcess::forget);
  }

  private static void forget(Process process) {
    synchronized (RUNNING) {
      RUNNING.remove(process);
    }
  }

  /** Ends what still runs when this machine stops before the scenarios could clean up. */
  private static void endRunning() {
    List<Process> left;
    synchronized (RUNNING) {
      ending = true;
      left = List.copyOf(RUNNING);
    }
    left.forEach(Process::destroyForcibly);
    left.forEach(process -> process.onExit().join());
  }

  private void readOutput(String lastReadyLine) {
    try (BufferedReader reader = process.inputReader(StandardCharsets.UTF_8)) {
      for (String line = reader.readLine(); line != null; line = reader.readLine()) {
        synchronized (readyLines) {
          readyLines.add(line);
        }
        if (line.startsWith(lastReadyLine)) {
          ready.countDown();
        }
      }
      endedEarly = ready.getCount() > 0;
      ready.countDown();
    } catch (IOException ended) {
      process.destroyForcibly();
    }
  }

  private void signal(String signal) {
    try {
      int status =
          new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
      if (status != 0) {
        throw new IllegalStateException(name + " could not be signalled.");
      }
    } catch (IOException failure) {
      throw new IllegalStateException(failure);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(interrupted);
    }
  }
}
