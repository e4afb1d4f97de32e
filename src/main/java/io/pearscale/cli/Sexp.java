package io.pearscale.cli;

import java.util.ArrayList;
import java.util.List;

/** Just enough of S-expressions for settings: lists, atoms, and comments from ; to line's end. */
final class Sexp {
  /** Thrown with the line where reading failed. */
  static final class Bad extends Exception {
    private static final long serialVersionUID = 1L;

    Bad(int line, String what) {
      super("line " + line + ": " + what, null, false, false);
    }
  }

  private final String text;
  private int at;
  private int line = 1;

  private Sexp(String text) {
    this.text = text;
  }

  /** Reads all top-level lists of atoms, such as {@code (sample 8)}. */
  static List<List<String>> read(String text) throws Bad {
    Sexp s = new Sexp(text);
    List<List<String>> result = new ArrayList<>();
    while (s.skip()) {
      result.add(s.list());
    }
    return result;
  }

  private boolean skip() {
    while (at < text.length()) {
      char c = text.charAt(at);
      if (c == ';') {
        while (at < text.length() && text.charAt(at) != '\n') {
          at++;
        }
      } else if (Character.isWhitespace(c)) {
        if (c == '\n') {
          line++;
        }
        at++;
      } else {
        return true;
      }
    }
    return false;
  }

  private List<String> list() throws Bad {
    if (text.charAt(at) != '(') {
      throw new Bad(line, "'(' expected");
    }
    at++;
    List<String> atoms = new ArrayList<>();
    while (skip()) {
      char c = text.charAt(at);
      if (c == ')') {
        at++;
        return atoms;
      }
      if (c == '(') {
        throw new Bad(line, "a name or number expected, not a list");
      }
      int from = at;
      while (at < text.length()
          && !Character.isWhitespace(text.charAt(at))
          && "();".indexOf(text.charAt(at)) < 0) {
        at++;
      }
      atoms.add(text.substring(from, at));
    }
    throw new Bad(line, "')' missing");
  }
}
