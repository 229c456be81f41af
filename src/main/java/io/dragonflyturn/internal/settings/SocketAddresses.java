package io.dragonflyturn.internal.settings;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses and formats IP addresses with ports; host names are not resolved. */
public final class SocketAddresses {
  private static final Pattern ADDRESS_PATTERN =
      Pattern.compile("(?:(\\d{1,3}(?:\\.\\d{1,3}){3})|\\[([0-9A-Fa-f:.]+)]):(\\d{1,5})");
  private static final int IPV4_GROUP = 1;
  private static final int IPV6_GROUP = 2;
  private static final int PORT_GROUP = 3;

  private SocketAddresses() {}

  /**
   * Parses an address such as {@code 127.0.0.1:7400} or {@code [::1]:7400}.
   *
   * @throws IllegalArgumentException if the text is not an IP address with a port
   */
  public static InetSocketAddress parse(String text) {
    Matcher matcher = ADDRESS_PATTERN.matcher(text);
    if (!matcher.matches()) {
      throw new IllegalArgumentException(text);
    }
    String host = matcher.group(IPV4_GROUP);
    if (host == null) {
      host = matcher.group(IPV6_GROUP);
    }
    try {
      InetAddress address = InetAddress.getByName(host);
      return new InetSocketAddress(address, Integer.parseInt(matcher.group(PORT_GROUP)));
    } catch (UnknownHostException invalidAddress) {
      throw new IllegalArgumentException(text, invalidAddress);
    }
  }

  /** Formats an address in the form that {@link #parse} accepts. */
  public static String text(InetSocketAddress address) {
    String host = address.getAddress().getHostAddress();
    String bracketed = host.indexOf(':') < 0 ? host : "[" + host + "]";
    return bracketed + ":" + address.getPort();
  }
}
