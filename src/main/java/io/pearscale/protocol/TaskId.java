package io.pearscale.protocol;

/** Names a task: a job and an index. */
public record TaskId(String job, int index) {
  /** Reads {@code wk-000412/3}. */
  public static TaskId parse(String text) throws MalformedMessageException {
    int slash = text.lastIndexOf('/');
    try {
      if (slash > 0 && JobSpec.isValidId(text.substring(0, slash))) {
        int index = Integer.parseInt(text.substring(slash + 1));
        if (index >= 0) {
          return new TaskId(text.substring(0, slash), index);
        }
      }
    } catch (NumberFormatException e) {
      throw new MalformedMessageException("piece: " + text);
    }
    throw new MalformedMessageException("piece: " + text);
  }

  // Written out: this is the key of most maps, and what a record gets by itself is linked at run
  // time and far slower without the JVM's second compiler.
  @Override
  public boolean equals(Object other) {
    return other instanceof TaskId o && index == o.index && job.equals(o.job);
  }

  @Override
  public int hashCode() {
    return 31 * job.hashCode() + index;
  }

  @Override
  public String toString() {
    return job + "/" + index;
  }
}
