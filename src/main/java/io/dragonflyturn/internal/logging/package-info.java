/** Structured logging. */
@NullMarked
package io.dragonflyturn.internal.logging;

import org.jspecify.annotations.NullMarked;
