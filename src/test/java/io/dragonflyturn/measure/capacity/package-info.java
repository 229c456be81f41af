/** Measures how the size and the codec time of messages grow with the size of a deployment. */
@NullMarked
package io.dragonflyturn.measure.capacity;

import org.jspecify.annotations.NullMarked;
