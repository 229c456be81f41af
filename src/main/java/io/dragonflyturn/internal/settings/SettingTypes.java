package io.dragonflyturn.internal.settings;

import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** Factory methods for the types of settings. */
final class SettingTypes {
  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
  private static final Pattern DURATION = Pattern.compile("(\\d{1,9})(ms|s|m|h)");
  private static final int MAXIMUM_TOKEN_CHARACTERS = 256;
  private static final int MINIMUM_TOKEN_CHARACTERS = 4;
  private static final String SEPARATOR = ",";

  private SettingTypes() {}

  /** Returns the type of a name of letters, digits, dots, underscores, and hyphens. */
  static SettingType<String> name() {
    return new SettingType<>(
        "name",
        "1 to 64 letters, digits, '.', '_', '-', beginning with a letter or digit",
        text -> requireMatch(NAME, text));
  }

  /** Returns the type of an IP address with a port. */
  static SettingType<InetSocketAddress> address() {
    return new SettingType<>(
        "IP:PORT",
        "an IP number and a port of 0 to 65535, such as 127.0.0.1:7400 or [::1]:7400",
        SocketAddresses::parse);
  }

  /** Returns the type of a comma-separated list of addresses. */
  static SettingType<List<InetSocketAddress>> addresses() {
    return new SettingType<>(
        "IP:PORT,...",
        "IP numbers with ports, separated by commas, such as 10.0.0.1:7410,10.0.0.2:7410",
        text -> split(text).stream().map(SocketAddresses::parse).toList());
  }

  /** Returns the type of an HTTP URL. */
  static SettingType<URI> httpUrl() {
    return new SettingType<>(
        "URL",
        "an http:// URL with an IP number and a port, such as http://10.0.0.9:7500",
        SettingTypes::parseHttpUrl);
  }

  /** Returns the type of a duration within inclusive bounds. */
  static SettingType<Duration> duration(Duration minimum, Duration maximum) {
    return new SettingType<>(
        "duration (ms, s, m, h)",
        "a whole number with unit, " + text(minimum) + " to " + text(maximum),
        text -> requireWithin(parseDuration(text), minimum, maximum));
  }

  /** Returns the type of a whole number within inclusive bounds. */
  static SettingType<Integer> wholeNumber(String unit, int minimum, int maximum) {
    return new SettingType<>(
        unit,
        "a whole number, " + minimum + " to " + maximum,
        text -> requireWithin(Integer.valueOf(text), minimum, maximum));
  }

  /** Returns the type of a fraction between 0 and 1. */
  static SettingType<Double> share() {
    return new SettingType<>(
        "share",
        "a number, 0 to 1, such as 0.1",
        text -> requireWithin(Double.valueOf(text), 0.0, 1.0));
  }

  /** Returns the type of an enum constant, written in lower case. */
  static <E extends Enum<E>> SettingType<E> choice(Class<E> type) {
    String allowed =
        Arrays.stream(type.getEnumConstants())
            .map(value -> value.name().toLowerCase(Locale.ROOT))
            .collect(Collectors.joining(" or "));
    return new SettingType<>(
        "choice", allowed, text -> Enum.valueOf(type, text.toUpperCase(Locale.ROOT)));
  }

  /** Returns the type of a list of name and token pairs; the value maps each token to its name. */
  static SettingType<Map<String, String>> namesByToken() {
    return new SettingType<>(
        "NAME=TOKEN,...",
        "names with tokens of 4 to 256 characters, separated by commas, each token once",
        SettingTypes::parseNamesByToken);
  }

  /** Formats a duration in the largest unit that represents it exactly. */
  static String text(Duration duration) {
    if (!duration.equals(Duration.ofSeconds(duration.toSeconds()))) {
      return duration.toMillis() + "ms";
    }
    if (duration.equals(Duration.ofHours(duration.toHours()))) {
      return duration.toHours() + "h";
    }
    if (duration.equals(Duration.ofMinutes(duration.toMinutes()))) {
      return duration.toMinutes() + "m";
    }
    return duration.toSeconds() + "s";
  }

  private static String requireMatch(Pattern pattern, String text) {
    if (!pattern.matcher(text).matches()) {
      throw new IllegalArgumentException(text);
    }
    return text;
  }

  private static <C extends Comparable<C>> C requireWithin(C value, C minimum, C maximum) {
    if (value.compareTo(minimum) < 0 || value.compareTo(maximum) > 0) {
      throw new IllegalArgumentException(value.toString());
    }
    return value;
  }

  private static List<String> split(String text) {
    if (text.isEmpty()) {
      return List.of();
    }
    return Arrays.stream(text.split(SEPARATOR, -1)).map(String::strip).toList();
  }

  private static Duration parseDuration(String text) {
    Matcher matcher = DURATION.matcher(text);
    if (!matcher.matches()) {
      throw new IllegalArgumentException(text);
    }
    long amount = Long.parseLong(matcher.group(1));
    return switch (matcher.group(2)) {
      case "ms" -> Duration.ofMillis(amount);
      case "s" -> Duration.ofSeconds(amount);
      case "m" -> Duration.ofMinutes(amount);
      default -> Duration.ofHours(amount);
    };
  }

  private static URI parseHttpUrl(String text) {
    URI uri = URI.create(text);
    boolean plain = uri.getRawQuery() == null && uri.getRawFragment() == null;
    if (!"http".equals(uri.getScheme()) || uri.getAuthority() == null || !plain) {
      throw new IllegalArgumentException(text);
    }
    SocketAddresses.parse(uri.getAuthority());
    return uri;
  }

  private static Map<String, String> parseNamesByToken(String text) {
    Map<String, String> names = new LinkedHashMap<>();
    for (String pair : split(text)) {
      int equals = pair.indexOf('=');
      if (equals < 0) {
        throw new IllegalArgumentException(pair);
      }
      String name = requireMatch(NAME, pair.substring(0, equals));
      String token = pair.substring(equals + 1);
      boolean allowed =
          token.length() >= MINIMUM_TOKEN_CHARACTERS && token.length() <= MAXIMUM_TOKEN_CHARACTERS;
      if (!allowed || names.put(token, name) != null) {
        throw new IllegalArgumentException(pair);
      }
    }
    return Map.copyOf(names);
  }
}
