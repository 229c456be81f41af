package io.dragonflyturn.daemon;

/** A server process, such as an entry or a scheduler, that can be started and shut down. */
public interface Daemon extends AutoCloseable {
  /**
   * Starts the process.
   *
   * @return the line for standard output that announces the addresses of the process
   */
  String start();

  /** Drains work in flight and shuts down. */
  @Override
  void close();
}
