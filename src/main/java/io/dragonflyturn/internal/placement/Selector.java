package io.dragonflyturn.internal.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A label selector: comma-separated terms that must all match. A term is {@code key=value}, {@code
 * key!=value}, {@code key in (a b)}, {@code key}, or {@code !key}. An empty selector matches
 * everything.
 */
public final class Selector {
  private static final String NAME = "[A-Za-z0-9._/-]+";
  private static final Pattern IN_SET =
      Pattern.compile("(" + NAME + ")\\s+in\\s+\\(([A-Za-z0-9._/\\s-]*)\\)");
  private static final Pattern NOT_EQUAL =
      Pattern.compile("(" + NAME + ")\\s*!=\\s*(" + NAME + ")");
  private static final Pattern EQUAL = Pattern.compile("(" + NAME + ")\\s*=\\s*(" + NAME + ")");
  private static final Pattern ABSENT = Pattern.compile("!\\s*(" + NAME + ")");
  private static final Pattern PRESENT = Pattern.compile(NAME);

  private final List<Term> terms;

  private Selector(List<Term> terms) {
    this.terms = terms;
  }

  /**
   * Parses a selector.
   *
   * @throws SelectorException if a term is malformed
   */
  public static Selector parse(String text) {
    List<Term> terms = new ArrayList<>();
    if (text.isBlank()) {
      return new Selector(terms);
    }
    int start = 0;
    for (String part : text.split(",", -1)) {
      terms.add(parseTerm(part, start));
      start += part.length() + 1;
    }
    return new Selector(List.copyOf(terms));
  }

  /** Returns whether the labels match all terms. */
  public boolean matches(Map<String, String> labels) {
    for (Term term : terms) {
      if (!term.matches(labels)) {
        return false;
      }
    }
    return true;
  }

  /** Returns whether the selector has no terms and thus matches everything. */
  public boolean isEmpty() {
    return terms.isEmpty();
  }

  private static Term parseTerm(String part, int start) {
    String term = part.strip();
    int position = start + part.length() - part.stripLeading().length();
    if (term.isEmpty()) {
      throw new SelectorException(start, "a term is missing; remove the comma or add a term");
    }
    Matcher set = IN_SET.matcher(term);
    if (set.matches()) {
      return parseSet(set, position);
    }
    Matcher notEqual = NOT_EQUAL.matcher(term);
    if (notEqual.matches()) {
      return new NotEqual(notEqual.group(1), notEqual.group(2));
    }
    Matcher equal = EQUAL.matcher(term);
    if (equal.matches()) {
      return new In(equal.group(1), Set.of(equal.group(2)));
    }
    Matcher absent = ABSENT.matcher(term);
    if (absent.matches()) {
      return new Absent(absent.group(1));
    }
    if (PRESENT.matcher(term).matches()) {
      return new Present(term);
    }
    throw new SelectorException(
        position,
        "'" + term + "' is not a term; use key=value, key!=value, key in (a b), key, or !key");
  }

  private static Term parseSet(Matcher set, int position) {
    String values = set.group(2).strip();
    if (values.isEmpty()) {
      throw new SelectorException(
          position + set.start(2), "the set of values is empty; name at least one value");
    }
    return new In(set.group(1), Set.copyOf(new HashSet<>(Arrays.asList(values.split("\\s+")))));
  }

  private sealed interface Term {
    default boolean matches(Map<String, String> labels) {
      return switch (this) {
        case In in -> labels.containsKey(in.key()) && in.values().contains(labels.get(in.key()));
        case NotEqual notEqual -> !notEqual.value().equals(labels.get(notEqual.key()));
        case Present present -> labels.containsKey(present.key());
        case Absent absent -> !labels.containsKey(absent.key());
      };
    }
  }

  private record In(String key, Set<String> values) implements Term {}

  private record NotEqual(String key, String value) implements Term {}

  private record Present(String key) implements Term {}

  private record Absent(String key) implements Term {}
}
