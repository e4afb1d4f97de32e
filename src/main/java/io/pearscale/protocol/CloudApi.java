package io.pearscale.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.transport.MessagePack;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Paths, requests and responses of the cloud's HTTP API, with their names on the wire. */
public final class CloudApi {
  /** The path that serves the catalogue of machine types. */
  public static final String CATALOGUE_PATH = "/catalog";

  /** The path that provisions machines. */
  public static final String PROVISION_PATH = "/hosts";

  /** The path that deletes machines. */
  public static final String DELETE_PATH = "/hosts/delete";

  /** The maximum number of machines that the cloud provisions in one request. */
  public static final int MAX_PROVISIONED_PER_REQUEST = 50;

  /** The maximum number of machines that the cloud deletes in one request. */
  public static final int MAX_DELETED_PER_REQUEST = 100;

  private static final int PAGE_SIZE = 500;
  private static final int STATUS_BAD_REQUEST = 400;
  private static final int STATUS_UNAVAILABLE = 503;

  /**
   * A page of the machine list, which is ordered by machine name.
   *
   * @param more whether another page follows
   */
  public record MachinePage(List<ListedMachine> machines, boolean more) {}

  private CloudApi() {}

  /**
   * Returns the path of a page of the machine list.
   *
   * @param lastName the last machine name of the previous page; empty for the first page
   */
  public static String listPath(String lastName) {
    return "/hosts?" + (lastName.isEmpty() ? "" : "since=" + lastName + "&") + "limit=" + PAGE_SIZE;
  }

  /** Parses a page of the machine list; empty if the body contains no list. */
  public static Optional<MachinePage> parsePage(JsonNode body) {
    JsonNode entries = body.path("hives");
    if (!entries.isArray()) {
      return Optional.empty();
    }
    List<ListedMachine> machines = new ArrayList<>(entries.size());
    entries.forEach(entry -> machines.add(parseMachine(entry)));
    return Optional.of(new MachinePage(machines, body.path("more").asBoolean()));
  }

  private static ListedMachine parseMachine(JsonNode entry) {
    return new ListedMachine(
        entry.path("uid").asText(),
        entry.path("address").asText(),
        entry.path("breed").asText(),
        entry.path("yard").asText(),
        entry.path("windfall").asBoolean(),
        entry.path("stage").asText().equals("failed"));
  }

  /**
   * Returns a request that provisions machines.
   *
   * @param requestName an idempotency key: the cloud executes each name once, so the request can be
   *     retried
   * @param count the number of machines, at most {@link #MAX_PROVISIONED_PER_REQUEST}
   */
  public static JsonNode provisionRequest(
      String requestName, String type, String zone, boolean spot, int count) {
    return MessagePack.map()
        .put("hire", requestName)
        .put("breed", type)
        .put("yard", zone)
        .put("windfall", spot)
        .put("count", count);
  }

  /** Returns the names of the provisioned machines. */
  public static List<String> parseProvisioned(JsonNode body) {
    List<String> names = new ArrayList<>();
    body.path("hives").forEach(name -> names.add(name.asText()));
    return names;
  }

  /** Returns whether the cloud currently has no machine of the requested type. */
  public static boolean isNoCapacity(int status, JsonNode body) {
    return status == STATUS_UNAVAILABLE && body.path("error").asText().equals("no capacity");
  }

  /** Returns whether the request is invalid, so that a retry fails as well. */
  public static boolean isBadRequest(int status) {
    return status == STATUS_BAD_REQUEST;
  }

  /**
   * Returns a request that deletes machines.
   *
   * @param names the machine names, at most {@link #MAX_DELETED_PER_REQUEST}
   */
  public static JsonNode deleteRequest(List<String> names) {
    ObjectNode body = MessagePack.map();
    ArrayNode nameList = body.putArray("hives");
    names.forEach(nameList::add);
    return body;
  }
}
