/** The dragonflyturn command line. */
@NullMarked
package io.dragonflyturn.command;

import org.jspecify.annotations.NullMarked;
