package io.pearscale.cli;

import java.util.ArrayList;
import java.util.List;

/** Just enough of S-expressions for settings: lists, atoms, and comments from ; to line's end. */
final class SExpressionReader {
  /** Thrown with the line where reading failed. */
  static final class SExpressionException extends Exception {
    private static final long serialVersionUID = 1L;

    SExpressionException(int line, String what) {
      super("line " + line + ": " + what, null, false, false);
    }
  }

  private final String text;
  private int at;
  private int line = 1;

  private SExpressionReader(String text) {
    this.text = text;
  }

  /** Reads all top-level lists of atoms, such as {@code (sample 8)}. */
  static List<List<String>> read(String text) throws SExpressionException {
    SExpressionReader reader = new SExpressionReader(text);
    List<List<String>> result = new ArrayList<>();
    while (reader.skip()) {
      result.add(reader.list());
    }
    return result;
  }

  private boolean skip() {
    while (at < text.length()) {
      char character = text.charAt(at);
      if (character == ';') {
        while (at < text.length() && text.charAt(at) != '\n') {
          at++;
        }
      } else if (Character.isWhitespace(character)) {
        if (character == '\n') {
          line++;
        }
        at++;
      } else {
        return true;
      }
    }
    return false;
  }

  private List<String> list() throws SExpressionException {
    if (text.charAt(at) != '(') {
      throw new SExpressionException(line, "'(' expected");
    }
    at++;
    List<String> atoms = new ArrayList<>();
    while (skip()) {
      char character = text.charAt(at);
      if (character == ')') {
        at++;
        return atoms;
      }
      if (character == '(') {
        throw new SExpressionException(line, "a name or number expected, not a list");
      }
      int from = at;
      while (at < text.length()
          && !Character.isWhitespace(text.charAt(at))
          && "();".indexOf(text.charAt(at)) < 0) {
        at++;
      }
      atoms.add(text.substring(from, at));
    }
    throw new SExpressionException(line, "')' missing");
  }
}
