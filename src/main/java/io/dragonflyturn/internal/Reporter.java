package io.dragonflyturn.internal;

import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.settings.SettingProblem;
import java.net.URI;
import java.util.List;

/**
 * Makes the failures that users see. Each message says what happened, where, and how to correct it.
 *
 * <p>The methods return the exception, so that callers write {@code throw Reporter...} and the
 * compiler sees that the path ends there.
 */
public final class Reporter {
  private Reporter() {}

  /** Returns the failure of a process whose settings have faults; it lists them all. */
  public static DragonflyturnException invalidSettings(String process, List<SettingProblem> problems) {
    StringBuilder message = new StringBuilder();
    message.append(String.format("The settings of '%s' have %d problem(s):", process, problems.size()));
    for (SettingProblem problem : problems) {
      message.append(
          String.format(
              "\n  %s is '%s'; allowed: %s.", problem.name(), problem.value(), problem.allowed()));
    }
    message.append(
        "\nCorrect them all and start again; 'dragonflyturn config settings' lists every setting.");
    return new DragonflyturnException(ResultCode.INVALID_SETTINGS, message.toString());
  }

  /** Returns the failure of a command line that names no known command. */
  public static DragonflyturnException unknownCommand(String words) {
    return new DragonflyturnException(
        ResultCode.MALFORMED_INPUT,
        "There is no command '" + words + "'; 'dragonflyturn --help' lists the commands.");
  }

  /** Returns the failure of a command whose flags or arguments cannot be used. */
  public static DragonflyturnException invalidArguments(
      String command, String problem, Throwable cause) {
    return new DragonflyturnException(
        ResultCode.MALFORMED_INPUT,
        "The arguments of '"
            + command
            + "' cannot be used: "
            + problem
            + ". See 'dragonflyturn "
            + command
            + " --help'.",
        cause);
  }

  /** Returns the failure of a list of entries that holds no URL. */
  public static DragonflyturnException invalidEntryList(String text, Throwable cause) {
    return new DragonflyturnException(
        ResultCode.INVALID_SETTINGS,
        "--entries (DRAGONFLYTURN_ENTRIES) is '"
            + text
            + "'; allowed: URLs separated by commas, such as http://127.0.0.1:7400.",
        cause);
  }

  /** Returns the failure of a client that was given no entry to call. */
  public static DragonflyturnException noEntries() {
    return new DragonflyturnException(
        ResultCode.INVALID_SETTINGS,
        "The list of entries is empty; give at least one URL, such as http://127.0.0.1:7400.");
  }

  /** Returns the failure of a call that reached no entry, so that nothing ran. */
  public static DragonflyturnException entriesUnreachable(List<URI> entries, Throwable cause) {
    return new DragonflyturnException(
        ResultCode.PEER_UNREACHABLE,
        "No entry could be reached at "
            + entries
            + ", so nothing was run; check the addresses and that the entries run.",
        cause);
  }

  /** Returns the failure of a call whose answer was lost after it may have been sent. */
  public static DragonflyturnException answerLost(String call, URI entry, Throwable cause) {
    return new DragonflyturnException(
        ResultCode.OUTCOME_UNKNOWN,
        "The answer to '"
            + call
            + "' from "
            + entry
            + " was lost, so it may or may not have taken effect; look at the current state"
            + " before you repeat it.",
        cause);
  }

  /** Returns the failure of a call whose answer is no answer of an entry. */
  public static DragonflyturnException unreadableAnswer(String call, URI entry, Throwable cause) {
    return new DragonflyturnException(
        ResultCode.INTERNAL_ERROR,
        "The answer to '"
            + call
            + "' from "
            + entry
            + " cannot be read; check that the URL is an entry's and that its version fits this"
            + " client's.",
        cause);
  }

  /** Returns the failure that an entry answered. */
  public static DragonflyturnException answeredFailure(ResultCode code, String message) {
    return new DragonflyturnException(code, message);
  }

  /** Returns the failure of a change that names no version that it is based on. */
  public static DragonflyturnException missingBaseVersion(String path) {
    return new DragonflyturnException(
        ResultCode.MALFORMED_INPUT,
        "The file '"
            + path
            + "' names no version; give --base-version with the version that 'dragonflyturn config"
            + " show' prints.");
  }

  /** Returns the failure of a file that cannot be read or written. */
  public static DragonflyturnException inaccessibleFile(String path, Throwable cause) {
    return new DragonflyturnException(
        ResultCode.MALFORMED_INPUT,
        "The file '"
            + path
            + "' cannot be used: "
            + cause.getMessage()
            + ". Check the path and the permissions.",
        cause);
  }

  /** Returns the failure of a call that was interrupted while it waited. */
  public static DragonflyturnException interrupted(String call, Throwable cause) {
    return new DragonflyturnException(
        ResultCode.OUTCOME_UNKNOWN,
        "'"
            + call
            + "' was interrupted while it waited, so it may or may not have taken effect; look at"
            + " the current state before you repeat it.",
        cause);
  }
}
