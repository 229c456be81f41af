package io.dragonflyturn.measure.policy;

import io.dragonflyturn.model.ServiceState;

/**
 * A change of the service state of a failure domain by an operator.
 *
 * @param atMillis when the change happens, in milliseconds from the start
 * @param domain the name of the failure domain
 * @param state the new service state
 * @param leaveWithinMillis how long running jobs may stay
 */
record DomainChange(long atMillis, String domain, ServiceState state, long leaveWithinMillis) {}
