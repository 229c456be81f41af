package io.dragonflyturn.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.dragonflyturn.internal.http.JsonCodec;
import java.io.PrintStream;

/** Prints the result of a command, either as one JSON object or as text. */
final class CommandOutput {
  private final PrintStream stream;
  private final boolean json;

  CommandOutput(PrintStream stream, boolean json) {
    this.stream = stream;
    this.json = json;
  }

  /** Prints the value if JSON output is selected, otherwise the text. */
  void print(Object value, String text) {
    stream.println(json ? JsonCodec.text(value) : text);
  }

  /** Prints a document on one line if JSON output is selected, otherwise indented. */
  void print(JsonNode document) {
    print(document, indented(document));
  }

  /** Prints the value if JSON output is selected, otherwise the table. */
  void print(Object value, TextTable table) {
    print(value, table.toString());
  }

  private static String indented(JsonNode document) {
    try {
      return JsonCodec.mapper().writerWithDefaultPrettyPrinter().writeValueAsString(document);
    } catch (JsonProcessingException failure) {
      throw new IllegalStateException(failure);
    }
  }
}
