/** Leadership, the placement of tasks, and one session for each worker that runs some. */
@NullMarked
package io.dragonflyturn.internal.dispatch;

import org.jspecify.annotations.NullMarked;
