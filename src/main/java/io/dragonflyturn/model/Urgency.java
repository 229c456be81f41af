package io.dragonflyturn.model;

/** The urgency class of a job or a request; under overload, later classes are shed first. */
public enum Urgency {
  /** Starts at once, by reclaiming stoppable work where needed. */
  URGENT,
  /** Waits in queue order. */
  NORMAL,
  /** May be delayed, and is shed first under overload. */
  DEFERRABLE
}
