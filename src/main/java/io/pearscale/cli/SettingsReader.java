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

/** Reads the platform's settings file, which is in TOML. Unknown keys are ignored. */
final class SettingsReader {
  /** With fewer file descriptors, some of the uses that share them would get none. */
  private static final int MIN_FD_LIMIT = 32;

  private static final int DEFAULT_FD_LIMIT = 1000;
  private static final double MIN_CPU_SHARE = 0.001;
  private static final double DEFAULT_CPU_SHARE = 1.0;

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
    return new SettingsReader(file).parseSettings(root);
  }

  private Settings parseSettings(JsonNode root) throws SettingsException {
    JsonNode facts = table(root, "facts", "");
    JsonNode workers = table(facts, "workers", "facts.");
    JsonNode state = table(facts, "state", "facts.");
    JsonNode cloud = table(facts, "cloud", "facts.");
    JsonNode endpoints = table(root, "endpoints", "");
    return new Settings(
        text(root, "host_name", ""),
        text(root, "domain", ""),
        address(root, "client_listen", ""),
        address(root, "back", ""),
        parsePeers(root),
        addressText(endpoints, "cloud", "endpoints."),
        addressText(endpoints, "state", "endpoints."),
        parseTeams(facts),
        parseObjectives(facts),
        new Settings.AgentSettings(
            seconds(workers, "report_s", "facts.workers."),
            seconds(workers, "lease_s", "facts.workers."),
            seconds(workers, "cancel_s", "facts.workers."),
            parseGangTimeouts(workers)),
        parseStoreLimits(state),
        new Settings.CloudLimits(
            number(cloud, "rps", "facts.cloud.", 0.01),
            seconds(cloud, "list_lag_s", "facts.cloud.")),
        (int) optionalLimit(facts, "fd_limit", MIN_FD_LIMIT, DEFAULT_FD_LIMIT),
        optionalLimit(facts, "cpu_share", MIN_CPU_SHARE, DEFAULT_CPU_SHARE));
  }

  /** Returns both timeouts or none: gangs can't be scheduled with only one of them. */
  private Optional<Settings.GangTimeouts> parseGangTimeouts(JsonNode workers)
      throws SettingsException {
    if (!workers.hasNonNull("gang_wait_s") && !workers.hasNonNull("gang_peer_s")) {
      return Optional.empty();
    }
    return Optional.of(
        new Settings.GangTimeouts(
            seconds(workers, "gang_wait_s", "facts.workers."),
            seconds(workers, "gang_peer_s", "facts.workers.")));
  }

  /**
   * Returns the smaller of the key-value store's current limits and those that it may switch to at
   * any time without notice. A request that exceeds either would be refused at some time.
   */
  private Settings.StoreLimits parseStoreLimits(JsonNode state) throws SettingsException {
    String prefix = "facts.state.";
    Settings.StoreLimits limits = parseStoreLimitTable(state, state, prefix);
    if (!state.hasNonNull("next")) {
      return limits;
    }
    JsonNode next = table(state, "next", prefix);
    return limits.min(parseStoreLimitTable(next, state, prefix + "next."));
  }

  /** Reads the limits of a table; a key that is missing there is read from the fallback. */
  private Settings.StoreLimits parseStoreLimitTable(
      JsonNode table, JsonNode fallback, String prefix) throws SettingsException {
    return new Settings.StoreLimits(
        number(tableWithKey("rps", table, fallback), "rps", prefix, 1),
        number(tableWithKey("write_rps", table, fallback), "write_rps", prefix, 1),
        (int) (number(tableWithKey("value_kb", table, fallback), "value_kb", prefix, 0.25) * 1024),
        (int) number(tableWithKey("txn_ops", table, fallback), "txn_ops", prefix, 4));
  }

  private static JsonNode tableWithKey(String key, JsonNode table, JsonNode fallback) {
    return table.hasNonNull(key) ? table : fallback;
  }

  private Map<String, InetSocketAddress> parsePeers(JsonNode root) throws SettingsException {
    Map<String, InetSocketAddress> peers = new LinkedHashMap<>();
    for (JsonNode peer : root.path("peers")) {
      peers.put(text(peer, "host_name", "peers."), address(peer, "address", "peers."));
    }
    return peers;
  }

  private List<Settings.Team> parseTeams(JsonNode facts) throws SettingsException {
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

  private List<Settings.ServiceLevelObjective> parseObjectives(JsonNode facts)
      throws SettingsException {
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

  private JsonNode table(JsonNode parent, String key, String prefix) throws SettingsException {
    JsonNode node = parent.path(key);
    if (!node.isObject()) {
      throw new SettingsException(file, prefix + key, describe(node), "a table");
    }
    return node;
  }

  private String text(JsonNode table, String key, String prefix) throws SettingsException {
    JsonNode node = table.path(key);
    if (!node.isTextual() || node.textValue().isBlank()) {
      throw new SettingsException(file, prefix + key, describe(node), "a text");
    }
    return node.textValue();
  }

  private double number(JsonNode table, String key, String prefix, double min)
      throws SettingsException {
    JsonNode node = table.path(key);
    if (!node.isNumber() || !(node.doubleValue() >= min) || Double.isInfinite(node.doubleValue())) {
      throw new SettingsException(
          file, prefix + key, describe(node), "a number of at least " + min);
    }
    return node.doubleValue();
  }

  /** Reads an optional limit of the machine that the controller runs on. */
  private double optionalLimit(JsonNode facts, String key, double min, double defaultValue)
      throws SettingsException {
    JsonNode limits = facts.path("limits");
    return limits.hasNonNull(key) ? number(limits, key, "facts.limits.", min) : defaultValue;
  }

  private Duration seconds(JsonNode table, String key, String prefix) throws SettingsException {
    return MessageFields.duration(number(table, key, prefix, 0));
  }

  private String addressText(JsonNode table, String key, String prefix) throws SettingsException {
    address(table, key, prefix);
    return text(table, key, prefix);
  }

  private InetSocketAddress address(JsonNode table, String key, String prefix)
      throws SettingsException {
    String text = text(table, key, prefix);
    int colon = text.lastIndexOf(':');
    try {
      String host = text.substring(0, Math.max(0, colon));
      int port = Integer.parseInt(text.substring(colon + 1));
      // Only numeric addresses are accepted, because a name lookup could block.
      if (host.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}") && port > 0 && port < 65536) {
        return new InetSocketAddress(InetAddress.getByName(host), port);
      }
    } catch (NumberFormatException | UnknownHostException e) {
      throw new SettingsException(file, prefix + key, text, "an address like 10.0.0.1:8080");
    }
    throw new SettingsException(file, prefix + key, text, "an address like 10.0.0.1:8080");
  }

  private static String describe(JsonNode node) {
    return node.isMissingNode() ? "nothing" : node.toString();
  }
}
