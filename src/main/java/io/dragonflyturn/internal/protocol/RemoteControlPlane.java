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
 * The control plane of a scheduler in another process: the local scheduler first, another
 * instance's when it cannot be reached.
 *
 * <p>A proposal moves on to the next scheduler only while it surely reached none. Views and queries
 * change nothing and move on after every failure.
 */
public final class RemoteControlPlane implements ControlPlane {
  /** How long a scheduler may take to append and apply a proposal. */
  private static final Duration PROPOSAL_TIMEOUT = Duration.ofSeconds(10);

  /** How long a scheduler may take beyond the wait that a call asks for. */
  private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(1_500);

  private final List<String> schedulers;
  private final ProtocolClients clients;
  private final SchedulerPreference preference;

  /** Creates a control plane over schedulers in order of preference. */
  public RemoteControlPlane(List<String> schedulers, ProtocolClients clients, InstantSource clock) {
    if (schedulers.isEmpty()) {
      throw new IllegalArgumentException("At least one scheduler address is needed");
    }
    this.schedulers = List.copyOf(schedulers);
    this.clients = clients;
    this.preference = new SchedulerPreference(schedulers.size(), clock);
  }

  @Override
  public CompletableFuture<ProposalOutcome> propose(ControlRecord record) {
    return call(new Message.Propose(record), PROPOSAL_TIMEOUT, RemoteControlPlane::surelyNotReached)
        .thenApply(message -> expect(message, Message.Proposed.class).outcome());
  }

  @Override
  public CompletableFuture<RoutingView> routingView(
      EntryPresence entry, long knownVersion, Duration wait) {
    Message question = new Message.FetchView(entry, knownVersion, wait.toMillis());
    return call(question, wait.plus(ANSWER_TIMEOUT), failure -> true)
        .thenApply(message -> expect(message, Message.View.class).view());
  }

  @Override
  public CompletableFuture<ControlAnswer> query(ControlQuery query) {
    return call(new Message.Query(query), ANSWER_TIMEOUT, failure -> true)
        .thenApply(message -> expect(message, Message.QueryAnswer.class).answer());
  }

  private CompletableFuture<Message> call(
      Message message, Duration timeout, Predicate<DragonflyturnException> mayMoveOn) {
    return call(message, timeout, mayMoveOn, preference.current(), schedulers.size());
  }

  private CompletableFuture<Message> call(
      Message message,
      Duration timeout,
      Predicate<DragonflyturnException> mayMoveOn,
      int index,
      int attemptsLeft) {
    return clients
        .at(schedulers.get(index))
        .call(message, timeout)
        .exceptionallyCompose(
            failure -> {
              DragonflyturnException known = Failures.toDragonflyturnException(failure);
              boolean unreached = unanswered(known);
              int next = unreached ? preference.moveOn(index) : index;
              if (attemptsLeft > 1 && unreached && mayMoveOn.test(known)) {
                return call(message, timeout, mayMoveOn, next, attemptsLeft - 1);
              }
              return CompletableFuture.failedFuture(known);
            });
  }

  private static boolean unanswered(DragonflyturnException failure) {
    return failure.code() == ResultCode.OUTCOME_UNKNOWN || surelyNotReached(failure);
  }

  private static boolean surelyNotReached(DragonflyturnException failure) {
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
            + " in place of "
            + type.getSimpleName()
            + "; check that all processes run the same version.");
  }
}
