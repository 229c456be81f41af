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

/** Child process that runs a main class of the project; killed when this JVM exits. */
public final class ChildProcess implements AutoCloseable {
  private static final long READY_TIMEOUT_SECONDS = 60;
  private static final long EXIT_TIMEOUT_SECONDS = 40;
  private static final List<String> JVM_FLAGS =
      List.of(
          "-Xmx48m",
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1",
          "-Xss256k",
          "-Dmsgpack.universal-buffer=true",
          "-Djava.util.logging.manager=org.jboss.logmanager.LogManager");

  private static final Set<Process> RUNNING = new HashSet<>();
  private static boolean shuttingDown;

  static {
    Runtime.getRuntime().addShutdownHook(new Thread(ChildProcess::killRunning));
  }

  private final String name;
  private final Process process;
  private final List<String> readyLines = new ArrayList<>();
  private final CountDownLatch ready = new CountDownLatch(1);
  private volatile boolean exitedEarly;
  private boolean suspended;

  private ChildProcess(String name, Process process) {
    this.name = name;
    this.process = process;
  }

  /**
   * Starts a main class without waiting until it is ready.
   *
   * @param name the name of the process in error messages
   * @param lastReadyLine the prefix of the output line that tells that the process is ready
   */
  public static ChildProcess start(
      String name, Class<?> mainClass, String lastReadyLine, List<String> arguments) {
    List<String> command = command(mainClass, arguments);
    try {
      Process process =
          new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.DISCARD).start();
      track(process);
      ChildProcess child = new ChildProcess(name, process);
      Thread.ofVirtual().start(() -> child.readOutput(lastReadyLine));
      return child;
    } catch (IOException failure) {
      throw new IllegalStateException(name + " did not start.", failure);
    }
  }

  /**
   * Starts a main class whose output is appended to a file. {@link #awaitReady} does not work for
   * such a process, so the caller has to find out when it is ready.
   *
   * @param name the name of the process in error messages
   * @param environment environment variables in addition to those of this process
   * @param log the file for standard output and standard error
   */
  public static ChildProcess startLogging(
      String name, Class<?> mainClass, Map<String, String> environment, Path log) {
    ProcessBuilder builder = new ProcessBuilder(command(mainClass, List.of()));
    builder.environment().putAll(environment);
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    try {
      Process process = builder.start();
      track(process);
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

  /**
   * Waits until the process is ready.
   *
   * @return the output lines up to now
   * @throws IllegalStateException if the process exits first or is not ready in time
   */
  public List<String> awaitReady() {
    try {
      if (!ready.await(READY_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
        throw new IllegalStateException(name + " was not ready before the timeout.");
      }
      if (exitedEarly) {
        throw new IllegalStateException(
            name + " exited with status " + awaitEnd() + " before it was ready.");
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(interrupted);
    }
    synchronized (readyLines) {
      return List.copyOf(readyLines);
    }
  }

  /** Returns the process id. */
  public long pid() {
    return process.pid();
  }

  /** Suspends the process with SIGSTOP until {@link #thaw}. */
  public void freeze() {
    signal("STOP");
    suspended = true;
  }

  /** Resumes a suspended process with SIGCONT; otherwise does nothing. */
  public void thaw() {
    if (suspended) {
      signal("CONT");
      suspended = false;
    }
  }

  /** Kills the process forcibly and waits for its exit. */
  public void kill() {
    process.destroyForcibly();
    awaitEnd();
  }

  /** Requests termination; unlike {@link Process#destroy}, keeps the output stream open. */
  public void terminate() {
    process.toHandle().destroy();
  }

  /** Waits for the process to exit and returns its exit status. */
  public int awaitEnd() {
    try {
      if (!process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
        throw new IllegalStateException(name + " did not exit before the timeout.");
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

  private static void track(Process process) {
    synchronized (RUNNING) {
      if (shuttingDown) {
        process.destroyForcibly();
      }
      RUNNING.add(process);
    }
    process.onExit().thenAccept(ChildProcess::untrack);
  }

  private static void untrack(Process process) {
    synchronized (RUNNING) {
      RUNNING.remove(process);
    }
  }

  /** Kills the remaining children if the JVM exits before the tests could close them. */
  private static void killRunning() {
    List<Process> remaining;
    synchronized (RUNNING) {
      shuttingDown = true;
      remaining = List.copyOf(RUNNING);
    }
    remaining.forEach(Process::destroyForcibly);
    remaining.forEach(process -> process.onExit().join());
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
      exitedEarly = ready.getCount() > 0;
      ready.countDown();
    } catch (IOException unreadable) {
      process.destroyForcibly();
    }
  }

  private void signal(String signal) {
    try {
      int status =
          new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
      if (status != 0) {
        throw new IllegalStateException(name + " could not be sent a signal.");
      }
    } catch (IOException failure) {
      throw new IllegalStateException(failure);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(interrupted);
    }
  }
}
