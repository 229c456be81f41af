package io.dragonflyturn;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import io.dragonflyturn.model.Configuration;

/**
 * A configuration with its version.
 *
 * @param version the version; a change must specify the version that it is based on
 * @param configuration the current configuration
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record VersionedConfiguration(long version, Configuration configuration) {}
