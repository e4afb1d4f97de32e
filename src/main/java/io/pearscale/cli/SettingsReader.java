package io.pearscale.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import io.pearscale.protocol.MessageFields;
import io.pearscale.protocol.Settings;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Reads the platform's TOML. Keys that it doesn't know are passed over. */
final class SettingsReader {
  /** With fewer there would be none for some of the uses that they are divided among. */
  private static final int LEAST_SOCKETS = 32;

  private static final int USUAL_SOCKETS = 1000;
  private static final double LEAST_CPU_SHARE = 0.001;
  private static final double WHOLE_CORE = 1.0;

  private final Path file;

  private SettingsReader(Path file) {
    this.file = file;
  }

  static Settings read(Path file) throws SettingsException {
    JsonNode root;
    try {
      root = new ObjectMapper(new TomlFactory()).readTree(Files.readString(file));
    } catch (JsonProcessingException e) {
      throw new SettingsException(file, "file", e.getOriginalMessage().replace('\n', ' '), "TOML");
    } catch (IOException e) {
      throw new SettingsException(file, "file", "nothing readable", "a TOML file");
    }
    return new SettingsReader(file).settings(root);
  }

  private Settings settings(JsonNode root) throws SettingsException {
    JsonNode facts = table(root, "facts", "");
    JsonNode workers = table(facts, "workers", "facts.");
    JsonNode state = table(facts, "state", "facts.");
    JsonNode cloud = table(facts, "cloud", "facts.");
    JsonNode services = table(root, "endpoints", "");
    return new Settings(
        text(root, "host_name", ""),
        text(root, "domain", ""),
        address(root, "client_listen", ""),
        address(root, "back", ""),
        peers(root),
        checkedAddress(services, "cloud", "endpoints."),
        checkedAddress(services, "state", "endpoints."),
        teams(facts),
        objectives(facts),
        new Settings.AgentSettings(
            seconds(workers, "report_s", "facts.workers."),
            seconds(workers, "lease_s", "facts.workers."),
            seconds(workers, "cancel_s", "facts.workers."),
            gangTimes(workers)),
        stateLimits(state),
        new Settings.CloudLimits(
            number(cloud, "rps", "facts.cloud.", 0.01),
            seconds(cloud, "list_lag_s", "facts.cloud.")),
        (int) limit(facts, "fd_limit", LEAST_SOCKETS, USUAL_SOCKETS),
        limit(facts, "cpu_share", LEAST_CPU_SHARE, WHOLE_CORE));
  }

  /** Both times, or none: a gang can't be served with one of them. */
  private Optional<Settings.GangTimeouts> gangTimes(JsonNode workers) throws SettingsException {
    if (!workers.hasNonNull("gang_wait_s") && !workers.hasNonNull("gang_peer_s")) {
      return Optional.empty();
    }
    return Optional.of(
        new Settings.GangTimeouts(
            seconds(workers, "gang_wait_s", "facts.workers."),
            seconds(workers, "gang_peer_s", "facts.workers.")));
  }

  /**
   * The limits that hold at any time: those that the state service has, and those that it may have
   * from some moment on, without notice. What is larger than either would be refused some day.
   */
  private Settings.StoreLimits stateLimits(JsonNode state) throws SettingsException {
    String now = "facts.state.";
    Settings.StoreLimits limits = limits(state, state, now);
    if (!state.hasNonNull("next")) {
      return limits;
    }
    JsonNode next = table(state, "next", now);
    return limits.min(limits(next, state, now + "next."));
  }

  /** Limits of a table; what it does not name is as in the other one. */
  private Settings.StoreLimits limits(JsonNode table, JsonNode otherwise, String where)
      throws SettingsException {
    return new Settings.StoreLimits(
        number(having("rps", table, otherwise), "rps", where, 1),
        number(having("write_rps", table, otherwise), "write_rps", where, 1),
        (int) (number(having("value_kb", table, otherwise), "value_kb", where, 0.25) * 1024),
        (int) number(having("txn_ops", table, otherwise), "txn_ops", where, 4));
  }

  private static JsonNode having(String key, JsonNode table, JsonNode otherwise) {
    return table.hasNonNull(key) ? table : otherwise;
  }

  private Map<String, InetSocketAddress> peers(JsonNode root) throws SettingsException {
    Map<String, InetSocketAddress> peers = new LinkedHashMap<>();
    for (JsonNode peer : root.path("peers")) {
      peers.put(text(peer, "host_name", "peers."), address(peer, "address", "peers."));
    }
    return peers;
  }

  private List<Settings.Team> teams(JsonNode facts) throws SettingsException {
    List<Settings.Team> teams = new ArrayList<>();
    for (JsonNode team : facts.path("teams")) {
      teams.add(
          new Settings.Team(
              text(team, "name", "facts.teams."),
              number(team, "cpus", "facts.teams.", 0),
              number(team, "cpus_max", "facts.teams.", 0),
              number(team, "gpus", "facts.teams.", 0),
              number(team, "gpus_max", "facts.teams.", 0)));
    }
    return teams;
  }

  private List<Settings.ServiceLevelObjective> objectives(JsonNode facts) throws SettingsException {
    List<Settings.ServiceLevelObjective> objectives = new ArrayList<>();
    for (JsonNode objective : facts.path("objectives")) {
      objectives.add(
          new Settings.ServiceLevelObjective(
              text(objective, "kind", "facts.objectives."),
              objective.path("class").asText(""),
              MessageFields.duration(Math.max(0, objective.path("within_s").asDouble(0)))));
    }
    return objectives;
  }

  private JsonNode table(JsonNode from, String key, String where) throws SettingsException {
    JsonNode node = from.path(key);
    if (!node.isObject()) {
      throw new SettingsException(file, where + key, describe(node), "a table");
    }
    return node;
  }

  private String text(JsonNode from, String key, String where) throws SettingsException {
    JsonNode node = from.path(key);
    if (!node.isTextual() || node.textValue().isBlank()) {
      throw new SettingsException(file, where + key, describe(node), "a text");
    }
    return node.textValue();
  }

  private double number(JsonNode from, String key, String where, double least)
      throws SettingsException {
    JsonNode node = from.path(key);
    if (!node.isNumber()
        || !(node.doubleValue() >= least)
        || Double.isInfinite(node.doubleValue())) {
      throw new SettingsException(
          file, where + key, describe(node), "a number of at least " + least);
    }
    return node.doubleValue();
  }

  /** A limit of the machine that may be left out. */
  private double limit(JsonNode facts, String key, double least, double otherwise)
      throws SettingsException {
    JsonNode limits = facts.path("limits");
    return limits.hasNonNull(key) ? number(limits, key, "facts.limits.", least) : otherwise;
  }

  private Duration seconds(JsonNode from, String key, String where) throws SettingsException {
    return MessageFields.duration(number(from, key, where, 0));
  }

  private String checkedAddress(JsonNode from, String key, String where) throws SettingsException {
    address(from, key, where);
    return text(from, key, where);
  }

  private InetSocketAddress address(JsonNode from, String key, String where)
      throws SettingsException {
    String text = text(from, key, where);
    int colon = text.lastIndexOf(':');
    try {
      String host = text.substring(0, Math.max(0, colon));
      int port = Integer.parseInt(text.substring(colon + 1));
      // Only numeric addresses: nothing here may wait for a name service.
      if (host.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}") && port > 0 && port < 65536) {
        return new InetSocketAddress(InetAddress.getByName(host), port);
      }
    } catch (NumberFormatException | UnknownHostException e) {
      throw new SettingsException(file, where + key, text, "an address like 10.0.0.1:8080");
    }
    throw new SettingsException(file, where + key, text, "an address like 10.0.0.1:8080");
  }

  private static String describe(JsonNode node) {
    return node.isMissingNode() ? "nothing" : node.toString();
  }
}
