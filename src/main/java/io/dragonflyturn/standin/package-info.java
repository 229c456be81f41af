/** Stand-ins that simulate the platform and workers, for the demo, measurements, and tests only. */
@NullMarked
package io.dragonflyturn.standin;

import org.jspecify.annotations.NullMarked;
