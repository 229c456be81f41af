package io.dragonflyturn.internal.protocol;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import java.io.IOException;
import org.msgpack.core.MessagePackException;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes values as MessagePack and decodes them. Map entries are sorted by key so that equal
 * values have equal encodings.
 */
public final class MessagePackCodec {
  private static final ObjectMapper MAPPER =
      new ObjectMapper(new MessagePackFactory())
          .configure(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS, true)
          .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

  private MessagePackCodec() {}

  /** Returns the MessagePack encoding of a value. */
  public static byte[] encode(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (JsonProcessingException failure) {
      throw new DragonflyturnException(
          ResultCode.INTERNAL_ERROR, "A value could not be encoded: " + value.getClass(), failure);
    }
  }

  /**
   * Returns the value decoded from MessagePack bytes.
   *
   * @throws DragonflyturnException with {@link ResultCode#FRAME_BROKEN} if the bytes are not a
   *     value of the type
   */
  public static <T> T decode(byte[] content, Class<T> type) {
    try {
      return MAPPER.readValue(content, type);
    } catch (IOException | MessagePackException failure) {
      throw broken(type.getSimpleName(), failure);
    }
  }

  /**
   * Returns the value of a generic type decoded from MessagePack bytes.
   *
   * @throws DragonflyturnException with {@link ResultCode#FRAME_BROKEN} if the bytes are not a
   *     value of the type
   */
  public static <T> T decode(byte[] content, TypeReference<T> type) {
    try {
      return MAPPER.readValue(content, type);
    } catch (IOException | MessagePackException failure) {
      throw broken(type.getType().getTypeName(), failure);
    }
  }

  private static DragonflyturnException broken(String type, Exception failure) {
    return new DragonflyturnException(
        ResultCode.FRAME_BROKEN,
        "The bytes are not a MessagePack value of type "
            + type
            + "; check that both peers run the same version.",
        failure);
  }
}
