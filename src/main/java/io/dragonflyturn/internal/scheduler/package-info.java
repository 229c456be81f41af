/**
 * The scheduler replica: replicates the control state from the log, plans placements while it is
 * the leader, and serves the control plane.
 */
@NullMarked
package io.dragonflyturn.internal.scheduler;

import org.jspecify.annotations.NullMarked;
