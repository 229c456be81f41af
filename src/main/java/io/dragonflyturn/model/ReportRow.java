package io.dragonflyturn.model;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * The guaranteed capacity of one customer and the results of its jobs.
 *
 * @param customer the customer
 * @param promisedAccelerators the total number of accelerators of all guaranteed shapes
 * @param heldAccelerators the number of accelerators that its jobs hold at the end of the period
 * @param waitingJobs the number of jobs that wait at the end of the period
 * @param endedJobs the number of jobs that ended, including cancelled and failed ones
 * @param completedJobs the number of jobs that completed successfully
 * @param finishedOnTime the number of completed jobs whose completion time was at most twice their
 *     work time, where work of less than 10 seconds counts as 10 seconds
 * @param meanCompletionSeconds the mean time from submission to end of completed jobs, in seconds
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record ReportRow(
    String customer,
    int promisedAccelerators,
    int heldAccelerators,
    long waitingJobs,
    long endedJobs,
    long completedJobs,
    long finishedOnTime,
    double meanCompletionSeconds) {}
