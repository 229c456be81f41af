/**
 * Access to the keyed records in the platform's store: an interface of the store, a consumer of a
 * topic, and a writer that appends in sequence.
 */
@NullMarked
package io.dragonflyturn.internal.ledger;

import org.jspecify.annotations.NullMarked;
