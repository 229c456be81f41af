/** The job API: submitting and cancelling jobs, and reading job phases and queue lengths. */
@NullMarked
package io.dragonflyturn.internal.intake;

import org.jspecify.annotations.NullMarked;
