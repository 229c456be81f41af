package io.dragonflyturn.daemon;

import com.codahale.metrics.MetricRegistry;
import dagger.Module;
import dagger.Provides;
import io.dragonflyturn.internal.Closer;
import io.dragonflyturn.internal.MonotonicClock;
import io.dragonflyturn.internal.protocol.ControlPlane;
import io.dragonflyturn.internal.protocol.ProtocolClients;
import io.dragonflyturn.internal.protocol.RemoteControlPlane;
import io.dragonflyturn.internal.settings.EntrySettings;
import io.dragonflyturn.internal.settings.SocketAddresses;
import jakarta.inject.Singleton;
import java.util.List;

/**
 * Dagger module that provides the identity, the internal server, and the remote control plane of an
 * entry process.
 */
@Module
final class EntryProcessModule {
  private EntryProcessModule() {}

  @Provides
  @Singleton
  static Incarnation incarnation(EntrySettings settings) {
    return Incarnation.of(settings.identity().instanceName());
  }

  @Provides
  @Singleton
  static InternalServer internalServer(
      EntrySettings settings, MetricRegistry metrics, Closer closer) {
    return closer.register(new InternalServer(settings.controlAddress(), metrics));
  }

  @Provides
  @Singleton
  static ControlPlane controlPlane(
      EntrySettings settings, ProtocolClients clients, MonotonicClock monotonic) {
    List<String> schedulers = settings.schedulers().stream().map(SocketAddresses::text).toList();
    return new RemoteControlPlane(schedulers, clients, monotonic);
  }
}
