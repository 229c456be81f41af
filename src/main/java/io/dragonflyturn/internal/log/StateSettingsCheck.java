package io.dragonflyturn.internal.log;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.state.StateSettings;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/** Rejects proposals of a replica whose state settings differ from those determined by the log. */
final class StateSettingsCheck {
  private static final Logger LOG = Logger.getLogger(StateSettingsCheck.class);

  private final StateSettings ownSettings;
  private final Counter mismatchCount;
  private final AtomicBoolean reported = new AtomicBoolean();

  StateSettingsCheck(StateSettings ownSettings, MetricRegistry metrics) {
    this.ownSettings = ownSettings;
    this.mismatchCount = metrics.counter("state.settings.differ");
  }

  /** Returns why this replica must not propose records; empty if it may. */
  Optional<String> rejectionReason(@Nullable StateSettings decided) {
    if (decided == null || decided.equals(ownSettings)) {
      return Optional.empty();
    }
    String problem =
        String.format(
            "Problem %d %s: this replica has %s, but the log has %s; restart it with the latter.",
            ResultCode.INVALID_SETTINGS.number(),
            ResultCode.INVALID_SETTINGS,
            ownSettings,
            decided);
    if (reported.compareAndSet(false, true)) {
      mismatchCount.inc();
      LOG.error(problem);
    }
    return Optional.of(problem);
  }
}
