/** Immutable values of jobs with steps and tasks, and the format in which they are stored. */
@NullMarked
package io.dragonflyturn.internal.workload;

import org.jspecify.annotations.NullMarked;
