/** Leader election, placement of tasks on workers, and execution of their runs by the leader. */
@NullMarked
package io.dragonflyturn.internal.dispatch;

import org.jspecify.annotations.NullMarked;
