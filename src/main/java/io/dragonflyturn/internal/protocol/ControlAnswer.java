package io.dragonflyturn.internal.protocol;

import io.dragonflyturn.ResultCode;

/**
 * The answer to a control query.
 *
 * @param code {@link ResultCode#OK}, or the reason why there is no answer
 * @param message what happened and how to correct it; empty on success
 * @param json the answer as a JSON document; the text {@code null} if there is none
 */
public record ControlAnswer(ResultCode code, String message, String json) {}
