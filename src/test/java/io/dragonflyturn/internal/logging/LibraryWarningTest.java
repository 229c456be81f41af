package io.dragonflyturn.internal.logging;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

/** Tests that warnings of libraries, which log through SLF4J, reach the handlers of the process. */
class LibraryWarningTest {
  private static final String LOGGER_NAME = "org.eclipse.jetty.LibraryWarningTest";

  private final Logger logger = Logger.getLogger(LOGGER_NAME);
  private final RecordingHandler handler = new RecordingHandler();

  @BeforeEach
  void listen() {
    logger.setUseParentHandlers(false);
    logger.addHandler(handler);
  }

  @AfterEach
  void stopListening() {
    logger.removeHandler(handler);
    logger.setUseParentHandlers(true);
  }

  @Test
  void should_hand_warnings_of_libraries_to_the_handlers_of_the_process() {
    LoggerFactory.getLogger(LOGGER_NAME).warn("no room for {}", "a connection");

    assertThat(handler.messages).containsExactly("no room for a connection");
  }

  /** Keeps the messages that it is handed. */
  private static final class RecordingHandler extends Handler {
    private final List<String> messages = new ArrayList<>();

    @Override
    public void publish(LogRecord record) {
      messages.add(record.getMessage());
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
  }
}
