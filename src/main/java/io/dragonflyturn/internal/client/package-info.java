/** The HTTP client of the public API, with failover between entries. */
@NullMarked
package io.dragonflyturn.internal.client;

import org.jspecify.annotations.NullMarked;
