/** Workers that run tasks: their registrations, and the orders that the leader sends to them. */
@NullMarked
package io.dragonflyturn.internal.fleet;

import org.jspecify.annotations.NullMarked;
