package io.dragonflyturn.scenario;

import io.dragonflyturn.Request;
import io.dragonflyturn.ResultCode;

/**
 * Request with the result that its caller received.
 *
 * @param request the request
 * @param code the result code
 * @param answeredId the request id in the answer; empty if there is no answer
 * @param answer the content of the answer; empty if there is no answer
 */
record SentRequest(Request request, ResultCode code, String answeredId, String answer) {}
