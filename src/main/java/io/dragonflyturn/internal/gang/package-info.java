/** Runs gangs on workers: reservation, start, lease renewal, stop, and recovery. */
@NullMarked
package io.dragonflyturn.internal.gang;

import org.jspecify.annotations.NullMarked;
