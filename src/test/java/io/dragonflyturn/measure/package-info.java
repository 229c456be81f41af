/** Measurement tools for the scheduler; none of them is part of the distribution. */
@NullMarked
package io.dragonflyturn.measure;

import org.jspecify.annotations.NullMarked;
