package io.dragonflyturn.internal.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** Reads and writes JSON, such as the bodies of the HTTP API. Unknown fields are errors. */
public final class JsonCodec {
  private static final ObjectMapper MAPPER =
      new ObjectMapper()
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);

  private JsonCodec() {}

  /** Returns the shared object mapper. */
  public static ObjectMapper mapper() {
    return MAPPER;
  }

  /**
   * Returns the value parsed from a JSON body.
   *
   * @throws DragonflyturnException with {@link ResultCode#UNKNOWN_FIELD} or {@link
   *     ResultCode#MALFORMED_INPUT} and the position of the error in the message
   */
  public static <T> T read(byte[] body, Class<T> type) {
    try {
      T value = MAPPER.readValue(body, type);
      if (value == null) {
        throw new DragonflyturnException(
            ResultCode.MALFORMED_INPUT, "The body is null; send a JSON object.");
      }
      return value;
    } catch (UnrecognizedPropertyException unknown) {
      throw new DragonflyturnException(
          ResultCode.UNKNOWN_FIELD,
          "The field '"
              + unknown.getPropertyName()
              + "' is unknown; the known fields are "
              + unknown.getKnownPropertyIds()
              + ".",
          unknown);
    } catch (JsonMappingException invalid) {
      throw new DragonflyturnException(
          ResultCode.MALFORMED_INPUT,
          "The field at " + path(invalid) + " is invalid: " + description(invalid) + ".",
          invalid);
    } catch (IOException malformed) {
      throw new DragonflyturnException(
          ResultCode.MALFORMED_INPUT,
          "The body is not well-formed JSON: " + firstLine(malformed) + ".",
          malformed);
    }
  }

  /** Returns the JSON encoding of a value in UTF-8. */
  public static byte[] write(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (JsonProcessingException failure) {
      throw new DragonflyturnException(
          ResultCode.INTERNAL_ERROR, "A value could not be written as JSON.", failure);
    }
  }

  /** Returns the JSON encoding of a value as a string. */
  public static String text(Object value) {
    return new String(write(value), StandardCharsets.UTF_8);
  }

  private static String description(JsonMappingException invalid) {
    if (invalid.getCause() instanceof IllegalArgumentException rejected) {
      return String.valueOf(rejected.getMessage());
    }
    return String.valueOf(invalid.getOriginalMessage());
  }

  private static String path(JsonMappingException invalid) {
    StringBuilder path = new StringBuilder("/");
    for (JsonMappingException.Reference reference : invalid.getPath()) {
      Object segment =
          reference.getFieldName() == null ? reference.getIndex() : reference.getFieldName();
      path.append(segment).append('/');
    }
    return path.toString();
  }

  private static String firstLine(IOException failure) {
    String message = String.valueOf(failure.getMessage());
    int end = message.indexOf('\n');
    return end < 0 ? message : message.substring(0, end);
  }
}
