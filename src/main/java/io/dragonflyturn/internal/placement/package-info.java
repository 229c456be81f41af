/**
 * The placement policy: ranks jobs, places gangs on accelerators, keeps customer guarantees
 * reclaimable, and explains its decisions. Free of I/O and threads.
 */
@NullMarked
package io.dragonflyturn.internal.placement;

import org.jspecify.annotations.NullMarked;
