/** The protocol between dragonflyturn processes: TCP frames that carry MessagePack messages. */
@NullMarked
package io.dragonflyturn.internal.protocol;

import org.jspecify.annotations.NullMarked;
