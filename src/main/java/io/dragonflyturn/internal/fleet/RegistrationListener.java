package io.dragonflyturn.internal.fleet;

/** Receives worker registrations. */
public interface RegistrationListener {
  /** Called when a worker registers or updates its registration. */
  void registered(WorkerRegistration registration);

  /** Called when a worker is no longer registered, because it has left or has stopped reporting. */
  void unregistered(String worker);
}
