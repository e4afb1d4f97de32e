package io.pearscale.cli;

import java.util.ArrayList;
import java.util.List;

/** Reads flat lists of atoms, with comments from {@code ;} to the end of the line. */
final class SExpressionReader {
  /** A syntax error, with the line where it was found. */
  static final class SExpressionException extends Exception {
    private static final long serialVersionUID = 1L;

    SExpressionException(int line, String problem) {
      super("line " + line + ": " + problem, null, false, false);
    }
  }

  private final String text;
  private int position;
  private int line = 1;

  private SExpressionReader(String text) {
    this.text = text;
  }

  /** Reads all top-level lists of atoms, such as {@code (sample 8)}. */
  static List<List<String>> read(String text) throws SExpressionException {
    SExpressionReader reader = new SExpressionReader(text);
    List<List<String>> result = new ArrayList<>();
    while (reader.skipToToken()) {
      result.add(reader.readList());
    }
    return result;
  }

  private boolean skipToToken() {
    while (position < text.length()) {
      char character = text.charAt(position);
      if (character == ';') {
        while (position < text.length() && text.charAt(position) != '\n') {
          position++;
        }
      } else if (Character.isWhitespace(character)) {
        if (character == '\n') {
          line++;
        }
        position++;
      } else {
        return true;
      }
    }
    return false;
  }

  private List<String> readList() throws SExpressionException {
    if (text.charAt(position) != '(') {
      throw new SExpressionException(line, "'(' expected");
    }
    position++;
    List<String> atoms = new ArrayList<>();
    while (skipToToken()) {
      char character = text.charAt(position);
      if (character == ')') {
        position++;
        return atoms;
      }
      if (character == '(') {
        throw new SExpressionException(line, "a name or number expected, not a list");
      }
      int start = position;
      while (position < text.length()
          && !Character.isWhitespace(text.charAt(position))
          && "();".indexOf(text.charAt(position)) < 0) {
        position++;
      }
      atoms.add(text.substring(start, position));
    }
    throw new SExpressionException(line, "')' missing");
  }
}
