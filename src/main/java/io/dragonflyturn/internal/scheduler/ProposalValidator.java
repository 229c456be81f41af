package io.dragonflyturn.internal.scheduler;

import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.log.ReplicatedState;
import io.dragonflyturn.internal.placement.ConfigurationProblem;
import io.dragonflyturn.internal.placement.ConfigurationValidator;
import io.dragonflyturn.internal.placement.GuaranteeChecker;
import io.dragonflyturn.internal.state.ControlRecord;
import io.dragonflyturn.model.Configuration;
import io.dragonflyturn.model.Worker;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** Rejects invalid proposals before they are appended to the log. */
final class ProposalValidator {
  private final ReplicatedState replica;

  ProposalValidator(ReplicatedState replica) {
    this.replica = replica;
  }

  /**
   * Validates a proposal from an entry.
   *
   * @throws DragonflyturnException if the proposal is invalid
   */
  void check(ControlRecord record) {
    if (record instanceof ControlRecord.ConfigurationChanged changed) {
      checkConfiguration(changed.configuration());
    }
  }

  /** Returns all problems of a configuration, given the currently listed workers. */
  List<ConfigurationProblem> problems(Configuration configuration) {
    List<Worker> workers = replica.read(state -> List.copyOf(state.workers()));
    List<ConfigurationProblem> problems =
        new ArrayList<>(ConfigurationValidator.validate(configuration, workers));
    if (problems.stream().noneMatch(ProposalValidator::isError)) {
      for (ConfigurationProblem problem : GuaranteeChecker.check(configuration, workers)) {
        if (!problems.contains(problem)) {
          problems.add(problem);
        }
      }
    }
    return problems;
  }

  private void checkConfiguration(Configuration configuration) {
    List<ConfigurationProblem> errors =
        problems(configuration).stream().filter(ProposalValidator::isError).toList();
    if (!errors.isEmpty()) {
      throw new DragonflyturnException(
          ResultCode.INVALID_CONFIGURATION,
          errors.stream()
              .map(error -> error.path() + ": " + error.message())
              .collect(Collectors.joining(" ")));
    }
  }

  private static boolean isError(ConfigurationProblem problem) {
    return problem.severity() == ConfigurationProblem.Severity.ERROR;
  }
}
