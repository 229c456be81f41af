/**
 * The decisions of the leader about waiting and running work: its order, its places, and what is
 * stopped for it. They depend on their arguments only; nothing here reads a clock, a store, or a
 * network.
 */
@NullMarked
package io.dragonflyturn.internal.policy;

import org.jspecify.annotations.NullMarked;
