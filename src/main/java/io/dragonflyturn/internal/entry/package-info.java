/**
 * The entry, the process role that accepts requests from callers: polls the routing view, forwards
 * requests to their owners, and drains on shutdown.
 */
@NullMarked
package io.dragonflyturn.internal.entry;

import org.jspecify.annotations.NullMarked;
