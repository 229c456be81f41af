package io.dragonflyturn.measure.policy;

import java.util.List;

/**
 * The JSON output of a measurement.
 *
 * @param seed the first seed
 */
record PolicyReport(String preset, long seed, List<PolicyResult> policies) {}
