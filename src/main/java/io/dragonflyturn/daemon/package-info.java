/** The main classes of the server processes and the Dagger components that assemble them. */
@NullMarked
package io.dragonflyturn.daemon;

import org.jspecify.annotations.NullMarked;
