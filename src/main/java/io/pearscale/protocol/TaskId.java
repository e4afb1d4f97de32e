package io.pearscale.protocol;

/** The id of a task: a job id and the index of the task in the job. */
public record TaskId(String job, int index) {
  /**
   * Parses an id such as {@code wk-000412/3}.
   *
   * @throws MalformedMessageException if the text is not a valid task id
   */
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

  // Explicit implementations: this class is the key of most maps, and the implementations that a
  // record generates are linked at run time and are much slower without the second JIT compiler.
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
