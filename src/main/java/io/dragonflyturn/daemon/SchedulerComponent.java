package io.dragonflyturn.daemon;

import dagger.BindsInstance;
import dagger.Component;
import io.dragonflyturn.internal.settings.SchedulerSettings;
import jakarta.inject.Singleton;

/** Dagger component that assembles a scheduler process. */
@Singleton
@Component(modules = {ProcessModule.class, SchedulerModule.class, SchedulerProcessModule.class})
interface SchedulerComponent {
  /** Returns the daemon. */
  SchedulerDaemon daemon();

  /** Factory of the component. */
  @Component.Factory
  interface Factory {
    /** Creates the component for the given settings. */
    SchedulerComponent create(@BindsInstance SchedulerSettings settings);
  }
}
