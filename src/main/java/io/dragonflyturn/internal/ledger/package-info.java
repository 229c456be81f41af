/** Records with keys in the platform's store: reading, following, and writing them in sequence. */
@NullMarked
package io.dragonflyturn.internal.ledger;

import org.jspecify.annotations.NullMarked;
