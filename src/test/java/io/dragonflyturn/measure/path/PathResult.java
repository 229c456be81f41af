package io.dragonflyturn.measure.path;

import java.util.Map;

/**
 * Result of one measurement run.
 *
 * @param layout {@code instance} if entry and scheduler share a process, otherwise {@code separate}
 * @param instances the number of instances
 * @param workers the number of workers
 * @param p50Millis the median request latency by mode, in milliseconds
 * @param p99Millis the 99th percentile of the request latency by mode, in milliseconds
 * @param p50Ratio the ratio of the median of idempotent requests through an entry to that of direct
 *     requests
 * @param p99Ratio the same ratio for the 99th percentile
 * @param requestsPerSecond the throughput of answered requests over 60 connections
 * @param submitToStartP50Millis the median time from the submission of a job to its start, in
 *     milliseconds
 * @param submitToStartP99Millis the 99th percentile of the same time, in milliseconds
 * @param configurationMillis the time from the acceptance of a configuration change until the
 *     slowest instance has it, in milliseconds
 * @param idleMegabytes the resident memory of each daemon before the load, in megabytes
 * @param loadedMegabytes the resident memory of each daemon after the load, in megabytes
 * @param idleProcessorPercent the processor usage of each idle daemon, in percent of one core
 * @param idleBytesPerSecond the bytes read and written by each idle daemon per second
 */
record PathResult(
    String layout,
    int instances,
    int workers,
    Map<String, Double> p50Millis,
    Map<String, Double> p99Millis,
    double p50Ratio,
    double p99Ratio,
    double requestsPerSecond,
    double submitToStartP50Millis,
    double submitToStartP99Millis,
    double configurationMillis,
    Map<String, Double> idleMegabytes,
    Map<String, Double> loadedMegabytes,
    Map<String, Double> idleProcessorPercent,
    Map<String, Double> idleBytesPerSecond) {}
