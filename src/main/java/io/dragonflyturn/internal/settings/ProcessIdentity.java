package io.dragonflyturn.internal.settings;

/**
 * Identifies the instance on which a process runs, and its location.
 *
 * @param instanceName the unique name of the instance
 * @param failureDomain the failure domain of the instance
 * @param region the region of the failure domain
 */
public record ProcessIdentity(String instanceName, String failureDomain, String region) {}
