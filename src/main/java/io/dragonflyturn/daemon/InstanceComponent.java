package io.dragonflyturn.daemon;

import dagger.BindsInstance;
import dagger.Component;
import io.dragonflyturn.internal.settings.InstanceSettings;
import jakarta.inject.Singleton;

/** Dagger component that assembles a process that contains both an entry and a scheduler. */
@Singleton
@Component(
    modules = {
      ProcessModule.class,
      SchedulerModule.class,
      EntryModule.class,
      InstanceProcessModule.class
    })
interface InstanceComponent {
  /** Returns the daemon. */
  InstanceDaemon daemon();

  /** Factory of the component. */
  @Component.Factory
  interface Factory {
    /** Creates the component for the given settings. */
    InstanceComponent create(@BindsInstance InstanceSettings settings);
  }
}
