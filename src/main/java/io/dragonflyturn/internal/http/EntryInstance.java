package io.dragonflyturn.internal.http;

/**
 * An instance of dragonflyturn in the platform's instance list.
 *
 * @param incarnation the unique ID of the process incarnation
 * @param address the IP address and port at which it is reachable
 * @param failureDomain the failure domain that it runs in
 * @param leaving whether it is about to leave the platform
 */
public record EntryInstance(
    String incarnation, String address, String failureDomain, boolean leaving) {}
