/** Immutable model of jobs with steps and tasks, and its storage format. */
@NullMarked
package io.dragonflyturn.internal.workload;

import org.jspecify.annotations.NullMarked;
