/** The control state: log records, the state machine that applies them, and snapshots. */
@NullMarked
package io.dragonflyturn.internal.state;

import org.jspecify.annotations.NullMarked;
