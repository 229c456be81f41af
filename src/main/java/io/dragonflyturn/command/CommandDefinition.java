package io.dragonflyturn.command;

import java.util.List;

/**
 * A command as the help text shows it.
 *
 * @param words the words that name it, such as {@code job submit}
 * @param summary what it does, in one line
 * @param examples calls that teach it, each with a comment before it
 * @param body what runs
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
