/** Membership: peers and entries detected by heartbeats, and leader election by lease. */
@NullMarked
package io.dragonflyturn.internal.membership;

import org.jspecify.annotations.NullMarked;
