package io.dragonflyturn.daemon;

import com.codahale.metrics.MetricRegistry;
import dagger.Module;
import dagger.Provides;
import io.dragonflyturn.internal.Closer;
import io.dragonflyturn.internal.protocol.ControlPlane;
import io.dragonflyturn.internal.scheduler.SchedulerService;
import io.dragonflyturn.internal.settings.EntrySettings;
import io.dragonflyturn.internal.settings.InstanceSettings;
import io.dragonflyturn.internal.settings.SchedulerSettings;
import jakarta.inject.Singleton;

/**
 * Dagger module that provides the identity, the internal server, and the local control plane of a
 * process that contains both an entry and a scheduler.
 */
@Module
final class InstanceProcessModule {
  private InstanceProcessModule() {}

  @Provides
  static EntrySettings entrySettings(InstanceSettings settings) {
    return settings.entry();
  }

  @Provides
  static SchedulerSettings schedulerSettings(InstanceSettings settings) {
    return settings.scheduler();
  }

  @Provides
  @Singleton
  static Incarnation incarnation(InstanceSettings settings) {
    return Incarnation.of(settings.entry().identity().instanceName());
  }

  @Provides
  @Singleton
  static InternalServer internalServer(
      InstanceSettings settings, MetricRegistry metrics, Closer closer) {
    return closer.register(new InternalServer(settings.entry().controlAddress(), metrics));
  }

  @Provides
  @Singleton
  static ControlPlane controlPlane(SchedulerService scheduler) {
    return scheduler;
  }
}
