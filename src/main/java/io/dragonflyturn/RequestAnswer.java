package io.dragonflyturn;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import org.jspecify.annotations.Nullable;

/**
 * The answer to a request.
 *
 * @param requestId the id of the answered request
 * @param answer the content that the target returned
 * @param target the worker that answered; null if the answer was recorded earlier
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record RequestAnswer(String requestId, String answer, @Nullable String target) {}
