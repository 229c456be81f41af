/** The workers that run tasks: what they report, and the orders that they take. */
@NullMarked
package io.dragonflyturn.internal.fleet;

import org.jspecify.annotations.NullMarked;
