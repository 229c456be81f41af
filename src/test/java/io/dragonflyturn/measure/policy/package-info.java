/**
 * Compares the placement policy with two baseline policies on the same seeded job arrivals, in a
 * discrete-event simulation of a fleet.
 */
@NullMarked
package io.dragonflyturn.measure.policy;

import org.jspecify.annotations.NullMarked;
