package io.dragonflyturn.internal.http;

import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Authenticates callers by their bearer tokens. */
public final class TokenDirectory {
  private static final String SCHEME = "Bearer ";

  private final Map<String, Principal> principals;

  /** Creates a directory from a map of tokens to callers. */
  public TokenDirectory(Map<String, Principal> principals) {
    this.principals = Map.copyOf(principals);
  }

  /**
   * Returns the caller for an {@code Authorization} header.
   *
   * @throws DragonflyturnException with {@link ResultCode#UNAUTHENTICATED} if the header is missing
   *     or contains no known token
   */
  public Principal authenticate(@Nullable String header) {
    if (header != null && header.startsWith(SCHEME)) {
      Principal principal = principals.get(header.substring(SCHEME.length()).strip());
      if (principal != null) {
        return principal;
      }
    }
    throw new DragonflyturnException(
        ResultCode.UNAUTHENTICATED,
        "The call has no known token; send the header 'Authorization: Bearer TOKEN'.");
  }
}
