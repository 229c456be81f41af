/**
 * Access to the platform's log: batching, reading, and resolution of lost append answers.
 *
 * <p>There are two locks, in {@code ControlStateHolder} and in {@code ProposalTable}. No thread
 * holds both, and neither is held while the log is called, a future is completed, or a listener is
 * called.
 */
@NullMarked
package io.dragonflyturn.internal.log;

import org.jspecify.annotations.NullMarked;
