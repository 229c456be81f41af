/**
 * The settings of the processes, read from flags and environment variables and validated when a
 * process starts.
 */
@NullMarked
package io.dragonflyturn.internal.settings;

import org.jspecify.annotations.NullMarked;
