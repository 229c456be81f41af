package io.dragonflyturn.internal.workload;

/**
 * How the jobs of a queue are treated, as the configuration said when a job was accepted.
 *
 * @param name the queue's name in the configuration
 * @param service the service whose workers run the tasks
 * @param priority 0 to 2; 0 comes first
 * @param maximumAttempts the failed runs after which a task is given up
 * @param stretch the objective as a multiple of the longest chain of work
 * @param objectiveMillis what is added to the objective, in milliseconds
 */
public record QueuePolicy(
    String name,
    String service,
    int priority,
    int maximumAttempts,
    double stretch,
    long objectiveMillis) {}
