/** Request handling: admission, routing, slot credits, retries, and at-most-once claims. */
@NullMarked
package io.dragonflyturn.internal.request;

import org.jspecify.annotations.NullMarked;
