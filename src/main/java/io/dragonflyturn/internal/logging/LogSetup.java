package io.dragonflyturn.internal.logging;

import io.dragonflyturn.internal.settings.LogFormat;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.jboss.logmanager.formatters.JsonFormatter;
import org.jboss.logmanager.formatters.PatternFormatter;
import org.jboss.logmanager.handlers.ConsoleHandler;

/**
 * Configures logging to standard error, as JSON lines or as text.
 *
 * <p>The process must run with {@code -Djava.util.logging.manager=org.jboss.logmanager.LogManager},
 * which {@code bin/dragonflyturn} sets.
 */
public final class LogSetup {
  private static final String TEXT_PATTERN = "%d{HH:mm:ss.SSS} %-5p %c{1} %s%e%n";

  /** Held here, as a logger that nobody refers to may lose its level. */
  private static final Logger JETTY = Logger.getLogger("org.eclipse.jetty");

  private LogSetup() {}

  /**
   * Replaces all log handlers with one that writes to standard error, at level INFO; Jetty, which
   * reports each start and stop of its parts, at level WARNING.
   */
  public static void apply(LogFormat format) {
    Logger root = Logger.getLogger("");
    for (Handler handler : root.getHandlers()) {
      root.removeHandler(handler);
    }
    root.addHandler(createHandler(format));
    root.setLevel(Level.INFO);
    JETTY.setLevel(Level.WARNING);
  }

  private static Handler createHandler(LogFormat format) {
    ConsoleHandler handler =
        new ConsoleHandler(ConsoleHandler.Target.SYSTEM_ERR, createFormatter(format));
    handler.setLevel(Level.ALL);
    return handler;
  }

  private static Formatter createFormatter(LogFormat format) {
    return switch (format) {
      case JSON -> new JsonFormatter();
      case TEXT -> new PatternFormatter(TEXT_PATTERN);
    };
  }
}
