package io.dragonflyturn.command;

import java.util.List;

/**
 * The definition of a command: its name, its help text, and its implementation.
 *
 * @param words the name of the command, one or more words such as {@code job submit}
 * @param summary a one-line description
 * @param examples the lines of the example section: calls, and comments that introduce them
 * @param body the implementation
 */
record CommandDefinition(String words, String summary, List<String> examples, CommandBody body) {
  CommandDefinition {
    examples = List.copyOf(examples);
  }

  /** Returns the number of words in the name. */
  int wordCount() {
    return words.split(" ", -1).length;
  }
}
