/** Forwarding of API calls between instances: the wire format, the client, and the server. */
@NullMarked
package io.dragonflyturn.internal.relay;

import org.jspecify.annotations.NullMarked;
