/**
 * Immutable values shared by every part of the scheduler: customers, jobs, shapes, and
 * configuration.
 */
@NullMarked
package io.dragonflyturn.model;

import org.jspecify.annotations.NullMarked;
