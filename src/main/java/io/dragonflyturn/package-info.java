/** The public API of dragonflyturn: the client, its data types, and result codes. */
@NullMarked
package io.dragonflyturn;

import org.jspecify.annotations.NullMarked;
