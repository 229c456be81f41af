package io.dragonflyturn.internal.workload;

/**
 * The scheduling policy of a queue, as configured when a job was accepted.
 *
 * @param name the queue's name in the configuration
 * @param service the service whose workers run the tasks
 * @param priority the priority from 0 to 2; 0 is the most urgent
 * @param maximumAttempts the number of failed runs after which a task fails for good
 * @param stretch the factor of the completion time objective that is multiplied by the length of
 *     the job's critical path
 * @param objectiveMillis the constant part of the completion time objective, in milliseconds
 */
public record QueuePolicy(
    String name,
    String service,
    int priority,
    int maximumAttempts,
    double stretch,
    long objectiveMillis) {}
