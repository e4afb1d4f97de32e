package io.pearscale.sim;

/** Builds the text of a generated scenario. */
final class ScenarioText {
  private final StringBuilder text = new StringBuilder();

  /** Appends a statement that applies to the whole run. */
  void statement(String format, Object... values) {
    text.append(format.formatted(values)).append('\n');
  }

  /** Appends machines, half of them in each of the zones a and b, that are up at the start. */
  void machinesInTwoZones(int machines) {
    statement("machines small a ordinary %d", machines / 2);
    statement("machines small b ordinary %d", machines - machines / 2);
  }

  /** Lets the clocks of two controllers drift as far apart as the protocol allows. */
  void clockDrift() {
    statement("drift hive-0 1.0005");
    statement("drift hive-1 0.9995");
  }

  /** Appends a team without a quota limit, and one that may use the given number of CPUs. */
  void teams(int cpuLimit) {
    statement("team t");
    statement("team u cpus_max=%d", cpuLimit);
  }

  /** Appends an action at the given second. */
  void event(double at, String format, Object... values) {
    text.append("at %.2f ".formatted(at)).append(format.formatted(values)).append('\n');
  }

  /** Appends a fault whose last argument is a number, and resets that number to 0 at the end. */
  void temporaryFault(double at, double end, String command) {
    event(at, "%s", command);
    event(end, "%s 0", command.substring(0, command.lastIndexOf(' ')));
  }

  /** Appends the restart of a controller: a crash, and a start at the end. */
  void restart(double at, double end, String controller) {
    String alias = "restarted%.0f".formatted(at * 100);
    event(at, "alias %s %s", controller, alias);
    event(at, "crash %s", alias);
    event(end, "start %s", alias);
  }

  @Override
  public String toString() {
    return text.toString();
  }
}
