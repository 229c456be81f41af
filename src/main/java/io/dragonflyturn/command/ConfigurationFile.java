package io.dragonflyturn.command;

import com.fasterxml.jackson.databind.JsonNode;
import io.dragonflyturn.internal.Reporter;
import io.dragonflyturn.internal.http.JsonCodec;
import io.dragonflyturn.model.Configuration;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.jspecify.annotations.Nullable;

/**
 * The content of a configuration file, with or without a version. {@code config show} prints the
 * form with a version.
 *
 * @param version the version in the file; null if the file contains only a configuration
 * @param configuration the configuration
 */
record ConfigurationFile(@Nullable Long version, Configuration configuration) {
  private static final String CONFIGURATION_FIELD = "configuration";

  /**
   * Reads a configuration file.
   *
   * @throws io.dragonflyturn.DragonflyturnException if the file cannot be read or has unknown
   *     fields
   */
  static ConfigurationFile read(String path) {
    byte[] content = content(path);
    if (JsonCodec.read(content, JsonNode.class).has(CONFIGURATION_FIELD)) {
      return JsonCodec.read(content, ConfigurationFile.class);
    }
    return new ConfigurationFile(null, JsonCodec.read(content, Configuration.class));
  }

  private static byte[] content(String path) {
    try {
      return Files.readAllBytes(Path.of(path));
    } catch (IOException failure) {
      throw Reporter.inaccessibleFile(path, failure);
    }
  }
}
