/** End-to-end measurements and tests over running processes on loopback. */
@NullMarked
package io.dragonflyturn.measure.path;

import org.jspecify.annotations.NullMarked;
