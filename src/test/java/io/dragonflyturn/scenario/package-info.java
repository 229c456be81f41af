/**
 * Cucumber scenarios against running processes: a test harness, step definitions, and checkers of
 * the log and the worker histories.
 */
@NullMarked
package io.dragonflyturn.scenario;

import org.jspecify.annotations.NullMarked;
