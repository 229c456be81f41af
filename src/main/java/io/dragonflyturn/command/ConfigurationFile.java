package io.dragonflyturn.command;

import com.fasterxml.jackson.databind.JsonNode;
import io.dragonflyturn.internal.Reporter;
import io.dragonflyturn.internal.http.ApiReader;
import io.dragonflyturn.model.Configuration;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.jspecify.annotations.Nullable;

/**
 * A file with a configuration, alone or with its version as {@code config show} prints it.
 *
 * @param version the version that the file names; null where it holds the configuration alone
 * @param configuration the configuration
 */
record ConfigurationFile(@Nullable Long version, Configuration configuration) {
  private static final String CONFIGURATION_FIELD = "configuration";

  /**
   * Reads a file.
   *
   * @throws io.dragonflyturn.DragonflyturnException where it cannot be read or has unknown fields
   */
  static ConfigurationFile read(String path) {
    byte[] content = content(path);
    if (ApiReader.read(content, JsonNode.class).has(CONFIGURATION_FIELD)) {
      return ApiReader.read(content, ConfigurationFile.class);
    }
    return new ConfigurationFile(null, ApiReader.read(content, Configuration.class));
  }

  private static byte[] content(String path) {
    try {
      return Files.readAllBytes(Path.of(path));
    } catch (IOException failure) {
      throw Reporter.inaccessibleFile(path, failure);
    }
  }
}
