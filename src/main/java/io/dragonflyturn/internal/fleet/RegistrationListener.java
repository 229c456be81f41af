package io.dragonflyturn.internal.fleet;

/** Is told of the workers' reports about themselves. */
public interface RegistrationListener {
  /** Takes a report. */
  void registered(WorkerRegistration registration);

  /** Takes the news that a worker is no longer listed: it has left, or has been silent. */
  void unregistered(String worker);
}
