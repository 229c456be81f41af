/** Takes the calls of callers: submissions, states, cancellations, and queue lengths. */
@NullMarked
package io.dragonflyturn.internal.intake;

import org.jspecify.annotations.NullMarked;
