package io.dragonflyturn.daemon;

import com.codahale.metrics.MetricRegistry;
import dagger.Module;
import dagger.Provides;
import io.dragonflyturn.internal.Closer;
import io.dragonflyturn.internal.settings.SchedulerSettings;
import jakarta.inject.Singleton;

/** Dagger module that provides the identity and the internal server of a scheduler process. */
@Module
final class SchedulerProcessModule {
  private SchedulerProcessModule() {}

  @Provides
  @Singleton
  static Incarnation incarnation(SchedulerSettings settings) {
    return Incarnation.of(settings.identity().instanceName());
  }

  @Provides
  @Singleton
  static InternalServer internalServer(
      SchedulerSettings settings, MetricRegistry metrics, Closer closer) {
    return closer.register(new InternalServer(settings.controlAddress(), metrics));
  }
}
