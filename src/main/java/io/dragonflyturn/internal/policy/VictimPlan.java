package io.dragonflyturn.internal.policy;

import io.dragonflyturn.internal.policy.WorkerSnapshot.Allocation;
import java.util.List;

/**
 * Places for a unit, and the runs to preempt for them.
 *
 * @param places a worker for each task of the unit
 * @param victims one allocation of each unit to preempt
 * @param cost the work that is lost, weighed by {@link Allocation#displacementCost}, in
 *     core-milliseconds
 */
record VictimPlan(List<Candidate> places, List<Allocation> victims, long cost) {}
