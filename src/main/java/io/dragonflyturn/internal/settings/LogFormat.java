package io.dragonflyturn.internal.settings;

/** The format of log lines. */
public enum LogFormat {
  /** One JSON object per line. */
  JSON,
  /** Human-readable text. */
  TEXT
}
