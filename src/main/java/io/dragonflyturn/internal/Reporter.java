package io.dragonflyturn.internal;

import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.settings.SettingProblem;
import java.net.URI;
import java.util.List;

/**
 * Creates the exceptions that users see. Each message states the problem, its location, and how to
 * correct it.
 *
 * <p>The methods return the exception instead of throwing it, so that callers write {@code throw
 * Reporter...} and the compiler recognizes the end of the control flow.
 */
public final class Reporter {
  private Reporter() {}

  /** Creates the exception for invalid settings of a process; the message lists every problem. */
  public static DragonflyturnException invalidSettings(
      String process, List<SettingProblem> problems) {
    StringBuilder message = new StringBuilder();
    message.append(
        String.format("The settings of '%s' have %d problem(s):", process, problems.size()));
    for (SettingProblem problem : problems) {
      message.append(
          String.format(
              "\n  %s is '%s'; allowed: %s.", problem.name(), problem.value(), problem.allowed()));
    }
    message.append(
        "\nCorrect them all and start again; 'dragonflyturn config settings' lists every setting.");
    return new DragonflyturnException(ResultCode.INVALID_SETTINGS, message.toString());
  }

  /** Creates the exception for an unknown command. */
  public static DragonflyturnException unknownCommand(String words) {
    return new DragonflyturnException(
        ResultCode.MALFORMED_INPUT,
        "There is no command '" + words + "'; 'dragonflyturn --help' lists the commands.");
  }

  /** Creates the exception for invalid flags or arguments of a command. */
  public static DragonflyturnException invalidArguments(
      String command, String problem, Throwable cause) {
    return new DragonflyturnException(
        ResultCode.MALFORMED_INPUT,
        "Invalid arguments for '"
            + command
            + "': "
            + problem
            + ". See 'dragonflyturn "
            + command
            + " --help'.",
        cause);
  }

  /** Creates the exception for a list of entries with an invalid URL. */
  public static DragonflyturnException invalidEntryList(String text, Throwable cause) {
    return new DragonflyturnException(
        ResultCode.INVALID_SETTINGS,
        "--entries (DRAGONFLYTURN_ENTRIES) is '"
            + text
            + "'; allowed: URLs separated by commas, such as http://127.0.0.1:7400.",
        cause);
  }

  /** Creates the exception for an empty list of entries. */
  public static DragonflyturnException noEntries() {
    return new DragonflyturnException(
        ResultCode.INVALID_SETTINGS,
        "The list of entries is empty; specify at least one URL, such as http://127.0.0.1:7400.");
  }

  /** Creates the exception for a call that could not be sent to any entry, so that nothing ran. */
  public static DragonflyturnException entriesUnreachable(List<URI> entries, Throwable cause) {
    return new DragonflyturnException(
        ResultCode.PEER_UNREACHABLE,
        "No entry could be reached at "
            + entries
            + ", so nothing was run; check the addresses and that the entries are running.",
        cause);
  }

  /** Creates the exception for a call that may have been sent but whose answer was lost. */
  public static DragonflyturnException answerLost(String call, URI entry, Throwable cause) {
    return new DragonflyturnException(
        ResultCode.OUTCOME_UNKNOWN,
        "The answer to '"
            + call
            + "' from "
            + entry
            + " was lost, so it may or may not have taken effect; check the current state"
            + " before you retry it.",
        cause);
  }

  /** Creates the exception for a call whose answer cannot be parsed. */
  public static DragonflyturnException unreadableAnswer(String call, URI entry, Throwable cause) {
    return new DragonflyturnException(
        ResultCode.INTERNAL_ERROR,
        "The answer to '"
            + call
            + "' from "
            + entry
            + " cannot be read; check that the URL is that of an entry and that its version matches"
            + " this client's.",
        cause);
  }

  /** Creates the exception for a failure that an entry returned. */
  public static DragonflyturnException answeredFailure(ResultCode code, String message) {
    return new DragonflyturnException(code, message);
  }

  /** Creates the exception for a configuration change without a base version. */
  public static DragonflyturnException missingBaseVersion(String path) {
    return new DragonflyturnException(
        ResultCode.MALFORMED_INPUT,
        "The file '"
            + path
            + "' contains no version; set --base-version to the version that 'dragonflyturn config"
            + " show' prints.");
  }

  /** Creates the exception for a file that cannot be read or written. */
  public static DragonflyturnException inaccessibleFile(String path, Throwable cause) {
    return new DragonflyturnException(
        ResultCode.MALFORMED_INPUT,
        "The file '"
            + path
            + "' cannot be accessed: "
            + cause.getMessage()
            + ". Check the path and the permissions.",
        cause);
  }

  /** Creates the exception for a call that was interrupted while waiting for the answer. */
  public static DragonflyturnException interrupted(String call, Throwable cause) {
    return new DragonflyturnException(
        ResultCode.OUTCOME_UNKNOWN,
        "'"
            + call
            + "' was interrupted while it waited, so it may or may not have taken effect; check"
            + " the current state before you retry it.",
        cause);
  }
}
