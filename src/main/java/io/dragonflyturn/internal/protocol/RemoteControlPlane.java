package io.dragonflyturn.internal.protocol;

import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.state.ControlRecord;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;

/**
 * A control plane that calls schedulers in other processes. It prefers the first scheduler in the
 * list, the local one, and fails over to the scheduler of another instance if the preferred one
 * cannot be reached.
 *
 * <p>A proposal is retried with the next scheduler only if it certainly had no effect. View
 * requests and queries are read-only and are retried with the next scheduler after every failure.
 */
public final class RemoteControlPlane implements ControlPlane {
  /** The time allowed for a scheduler to append and apply a proposal. */
  private static final Duration PROPOSAL_TIMEOUT = Duration.ofSeconds(10);

  /** The time allowed for an answer, in addition to the wait that a call requests. */
  private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(1_500);

  private final List<String> schedulers;
  private final ProtocolClients clients;
  private final SchedulerPreference preference;

  /**
   * Creates a control plane that calls the schedulers at the given addresses, in order of
   * preference.
   */
  public RemoteControlPlane(List<String> schedulers, ProtocolClients clients, InstantSource clock) {
    if (schedulers.isEmpty()) {
      throw new IllegalArgumentException("At least one scheduler address is required");
    }
    this.schedulers = List.copyOf(schedulers);
    this.clients = clients;
    this.preference = new SchedulerPreference(schedulers.size(), clock);
  }

  @Override
  public CompletableFuture<ProposalOutcome> propose(ControlRecord record) {
    return call(new Message.Propose(record), PROPOSAL_TIMEOUT, RemoteControlPlane::hadNoEffect)
        .thenApply(message -> expect(message, Message.Proposed.class).outcome());
  }

  @Override
  public CompletableFuture<RoutingView> routingView(
      EntryPresence entry, long knownVersion, Duration wait) {
    Message request = new Message.FetchView(entry, knownVersion, wait.toMillis());
    return call(request, wait.plus(ANSWER_TIMEOUT), failure -> true)
        .thenApply(message -> expect(message, Message.View.class).view());
  }

  @Override
  public CompletableFuture<ControlAnswer> query(ControlQuery query) {
    return call(new Message.Query(query), ANSWER_TIMEOUT, failure -> true)
        .thenApply(message -> expect(message, Message.QueryAnswer.class).answer());
  }

  private CompletableFuture<Message> call(
      Message message, Duration timeout, Predicate<DragonflyturnException> isRetryable) {
    return call(message, timeout, isRetryable, preference.current(), schedulers.size());
  }

  private CompletableFuture<Message> call(
      Message message,
      Duration timeout,
      Predicate<DragonflyturnException> isRetryable,
      int index,
      int attemptsLeft) {
    return clients
        .at(schedulers.get(index))
        .call(message, timeout)
        .exceptionallyCompose(
            failure -> {
              DragonflyturnException exception = Failures.toDragonflyturnException(failure);
              boolean unanswered = isUnanswered(exception);
              int next = unanswered ? preference.failOver(index) : index;
              if (attemptsLeft > 1 && unanswered && isRetryable.test(exception)) {
                return call(message, timeout, isRetryable, next, attemptsLeft - 1);
              }
              return CompletableFuture.failedFuture(exception);
            });
  }

  private static boolean isUnanswered(DragonflyturnException failure) {
    return failure.code() == ResultCode.OUTCOME_UNKNOWN || hadNoEffect(failure);
  }

  private static boolean hadNoEffect(DragonflyturnException failure) {
    return failure.code() == ResultCode.PEER_UNREACHABLE
        || failure.code() == ResultCode.LOG_UNAVAILABLE
        || failure.code() == ResultCode.SHUTTING_DOWN;
  }

  private static <T extends Message> T expect(Message message, Class<T> type) {
    if (type.isInstance(message)) {
      return type.cast(message);
    }
    throw new DragonflyturnException(
        ResultCode.FRAME_BROKEN,
        "A scheduler answered with "
            + message.getClass().getSimpleName()
            + " instead of "
            + type.getSimpleName()
            + "; check that all processes run the same version.");
  }
}
