package io.dragonflyturn.internal.request;

/**
 * Identifies a request. Request identifiers are unique within a customer.
 *
 * @param customer the name of the customer that submits the request
 * @param requestId a key chosen by the caller, or an identifier issued by an entry
 */
record RequestKey(String customer, String requestId) {}
