/**
 * The HTTP API for callers and operators, and the HTTP clients of the platform, workers, and
 * targets, based on Jetty.
 */
@NullMarked
package io.dragonflyturn.internal.http;

import org.jspecify.annotations.NullMarked;
