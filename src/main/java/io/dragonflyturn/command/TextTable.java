package io.dragonflyturn.command;

import java.util.ArrayList;
import java.util.List;

/** Formats a plain-text table with a header row and aligned columns. */
final class TextTable {
  private static final String COLUMN_SEPARATOR = "  ";

  private final List<List<String>> rows = new ArrayList<>();

  TextTable(String... header) {
    rows.add(List.of(header));
  }

  /** Adds a row, which must have as many cells as the header. */
  void add(Object... cells) {
    List<String> row = new ArrayList<>();
    for (Object cell : cells) {
      row.add(String.valueOf(cell));
    }
    rows.add(row);
  }

  @Override
  public String toString() {
    int[] widths = widths();
    List<String> lines = new ArrayList<>();
    for (List<String> row : rows) {
      lines.add(line(row, widths));
    }
    return String.join("\n", lines);
  }

  private int[] widths() {
    int[] widths = new int[rows.getFirst().size()];
    for (List<String> row : rows) {
      for (int column = 0; column < widths.length; column++) {
        widths[column] = Math.max(widths[column], row.get(column).length());
      }
    }
    return widths;
  }

  private static String line(List<String> row, int[] widths) {
    StringBuilder line = new StringBuilder();
    for (int column = 0; column < widths.length; column++) {
      line.append(row.get(column));
      line.append(" ".repeat(widths[column] - row.get(column).length())).append(COLUMN_SEPARATOR);
    }
    return line.toString().stripTrailing();
  }
}
