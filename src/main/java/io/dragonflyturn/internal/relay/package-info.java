/** How calls of callers pass between instances: their form in messages, and both ends. */
@NullMarked
package io.dragonflyturn.internal.relay;

import org.jspecify.annotations.NullMarked;
