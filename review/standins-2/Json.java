import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parses and writes JSON. Objects are maps, arrays are lists, numbers are longs or doubles. */
final class Json {
  private final String text;
  private int position;

  private Json(String text) {
    this.text = text;
  }

  /** Parses a UTF-8 document; an empty one is read as an empty object. */
  static Object parse(byte[] document) {
    String text = new String(document, StandardCharsets.UTF_8);
    return text.isBlank() ? Map.of() : new Json(text).value();
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(byte[] document) {
    return (Map<String, Object>) parse(document);
  }

  private Object value() {
    char next = peek();
    switch (next) {
      case '{':
        return object();
      case '[':
        return array();
      case '"':
        return string();
      case 't':
        position += 4;
        return true;
      case 'f':
        position += 5;
        return false;
      case 'n':
        position += 4;
        return null;
      default:
        return number();
    }
  }

  private char peek() {
    while (Character.isWhitespace(text.charAt(position))) {
      position++;
    }
    return text.charAt(position);
  }

  private Map<String, Object> object() {
    Map<String, Object> fields = new LinkedHashMap<>();
    position++;
    while (peek() != '}') {
      if (peek() == ',') {
        position++;
        peek();
      }
      String name = string();
      peek();
      position++;
      fields.put(name, value());
    }
    position++;
    return fields;
  }

  private List<Object> array() {
    List<Object> items = new ArrayList<>();
    position++;
    while (peek() != ']') {
      if (peek() == ',') {
        position++;
      }
      items.add(value());
    }
    position++;
    return items;
  }

  private String string() {
    StringBuilder result = new StringBuilder();
    position++;
    while (text.charAt(position) != '"') {
      char next = text.charAt(position++);
      if (next != '\\') {
        result.append(next);
        continue;
      }
      char escaped = text.charAt(position++);
      switch (escaped) {
        case 'n' -> result.append('\n');
        case 't' -> result.append('\t');
        case 'r' -> result.append('\r');
        case 'b' -> result.append('\b');
        case 'f' -> result.append('\f');
        case 'u' -> {
          result.append((char) Integer.parseInt(text.substring(position, position + 4), 16));
          position += 4;
        }
        default -> result.append(escaped);
      }
    }
    position++;
    return result.toString();
  }

  private Object number() {
    int start = position;
    while (position < text.length() && "+-.eE0123456789".indexOf(text.charAt(position)) >= 0) {
      position++;
    }
    String number = text.substring(start, position);
    try {
      return Long.parseLong(number);
    } catch (NumberFormatException fraction) {
      return Double.parseDouble(number);
    }
  }

  /** Writes a value as UTF-8. */
  static byte[] write(Object value) {
    StringBuilder out = new StringBuilder();
    append(out, value);
    return out.toString().getBytes(StandardCharsets.UTF_8);
  }

  private static void append(StringBuilder out, Object value) {
    switch (value) {
      case null -> out.append("null");
      case Map<?, ?> fields -> {
        out.append('{');
        String separator = "";
        for (Map.Entry<?, ?> field : fields.entrySet()) {
          out.append(separator);
          append(out, field.getKey());
          out.append(':');
          append(out, field.getValue());
          separator = ",";
        }
        out.append('}');
      }
      case List<?> items -> {
        out.append('[');
        String separator = "";
        for (Object item : items) {
          out.append(separator);
          append(out, item);
          separator = ",";
        }
        out.append(']');
      }
      case String string -> {
        out.append('"');
        for (char each : string.toCharArray()) {
          if (each == '"' || each == '\\') {
            out.append('\\').append(each);
          } else if (each < ' ') {
            out.append(String.format("\\u%04x", (int) each));
          } else {
            out.append(each);
          }
        }
        out.append('"');
      }
      default -> out.append(value);
    }
  }
}
