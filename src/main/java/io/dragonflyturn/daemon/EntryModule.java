package io.dragonflyturn.daemon;

import com.codahale.metrics.MetricRegistry;
import dagger.Module;
import dagger.Provides;
import io.dragonflyturn.internal.MonotonicClock;
import io.dragonflyturn.internal.entry.EntryService;
import io.dragonflyturn.internal.http.JettyTargetClient;
import io.dragonflyturn.internal.http.Principal;
import io.dragonflyturn.internal.http.TokenDirectory;
import io.dragonflyturn.internal.protocol.ControlPlane;
import io.dragonflyturn.internal.protocol.ProtocolClients;
import io.dragonflyturn.internal.request.RequestSettings;
import io.dragonflyturn.internal.request.RequestTimer;
import io.dragonflyturn.internal.settings.EntrySettings;
import jakarta.inject.Singleton;
import java.time.Clock;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.eclipse.jetty.client.HttpClient;

/** Dagger module that provides the entry service and its dependencies. */
@Module
final class EntryModule {
  /** Maximum size of the answer of a target. */
  private static final int MAXIMUM_ANSWER_BYTES = 4 * 1024 * 1024;

  /** How long after the deadline an answer is still matched to its request. */
  private static final Duration LATE_ANSWER_WAIT = Duration.ofSeconds(1);

  private EntryModule() {}

  @Provides
  @Singleton
  static TokenDirectory tokens(EntrySettings settings) {
    Map<String, Principal> principals = new HashMap<>();
    settings
        .customersByToken()
        .forEach((token, name) -> principals.put(token, new Principal(name, false)));
    settings
        .operatorsByToken()
        .forEach((token, name) -> principals.put(token, new Principal(name, true)));
    return new TokenDirectory(principals);
  }

  @Provides
  @Singleton
  static RequestSettings requestSettings(EntrySettings settings) {
    RequestSettings defaults = RequestSettings.DEFAULT;
    return new RequestSettings(
        settings.freshnessBound(),
        settings.limits().maximumDeadline(),
        settings.limits().maximumWaitingRequests(),
        defaults.maximumNormalWait(),
        defaults.maximumDeferrableWait(),
        defaults.initialTargetBackoff(),
        defaults.maximumTargetBackoff(),
        defaults.attemptLimit(),
        settings.retryBudget(),
        defaults.retryBudgetCapacity(),
        defaults.hedgeDelay(),
        defaults.lostAnswerGracePeriod(),
        defaults.retryAfter(),
        defaults.identifierLifetime(),
        defaults.identifierBlockLimit(),
        defaults.identifierBlockSize(),
        defaults.outcomeLimit());
  }

  @Provides
  @Singleton
  static EntryService service(
      EntrySettings settings,
      RequestSettings requestSettings,
      Incarnation incarnation,
      InternalServer server,
      ControlPlane controlPlane,
      TokenDirectory tokens,
      HttpClient client,
      ProtocolClients clients,
      RequestTimer timer,
      Clock clock,
      MonotonicClock monotonic,
      MetricRegistry metrics) {
    return new EntryService(
        new EntryService.EntryIdentity(incarnation.id(), server.address()),
        controlPlane,
        tokens,
        new JettyTargetClient(client, LATE_ANSWER_WAIT, MAXIMUM_ANSWER_BYTES, metrics),
        clients,
        timer,
        clock,
        monotonic,
        metrics,
        requestSettings,
        settings.limits());
  }
}
