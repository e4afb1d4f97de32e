package io.pearscale.protocol;

/** Names a task: a job and an index. */
public record TaskId(String job, int index) {
  /** Reads {@code wk-000412/3}. */
  public static TaskId parse(String text) throws Malformed {
    int slash = text.lastIndexOf('/');
    try {
      if (slash > 0 && JobSpec.isId(text.substring(0, slash))) {
        int index = Integer.parseInt(text.substring(slash + 1));
        if (index >= 0) {
          return new TaskId(text.substring(0, slash), index);
        }
      }
    } catch (NumberFormatException e) {
      throw new Malformed("piece: " + text);
    }
    throw new Malformed("piece: " + text);
  }

  @Override
  public String toString() {
    return job + "/" + index;
  }
}
