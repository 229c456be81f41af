package io.dragonflyturn.daemon;

import dagger.BindsInstance;
import dagger.Component;
import io.dragonflyturn.internal.settings.EntrySettings;
import jakarta.inject.Singleton;

/** Dagger component that assembles an entry process. */
@Singleton
@Component(modules = {ProcessModule.class, EntryModule.class, EntryProcessModule.class})
interface EntryComponent {
  /** Returns the daemon. */
  EntryDaemon daemon();

  /** Factory of the component. */
  @Component.Factory
  interface Factory {
    /** Creates the component for the given settings. */
    EntryComponent create(@BindsInstance EntrySettings settings);
  }
}
