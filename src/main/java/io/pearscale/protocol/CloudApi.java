package io.pearscale.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pearscale.transport.MessagePack;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** The requests and answers of the cloud's interface, with the names that they have on the wire. */
public final class CloudApi {
  /** Where the catalogue of machine types is read. */
  public static final String CATALOGUE_PATH = "/catalog";

  /** Where machines are provisioned. */
  public static final String PROVISION_PATH = "/hosts";

  /** Where machines are deleted. */
  public static final String DELETE_PATH = "/hosts/delete";

  /** The cloud provisions no more machines with one request. */
  public static final int MAX_PROVISIONED_PER_REQUEST = 50;

  /** The cloud deletes no more machines with one request. */
  public static final int MAX_DELETED_PER_REQUEST = 100;

  private static final int PAGE_SIZE = 500;
  private static final int STATUS_BAD_REQUEST = 400;
  private static final int STATUS_UNAVAILABLE = 503;

  /**
   * A page of the machine list, which is ordered by name.
   *
   * @param more whether another page follows
   */
  public record MachinePage(List<ListedMachine> machines, boolean more) {}

  private CloudApi() {}

  /**
   * Where a page of the machine list is read.
   *
   * @param lastName the last name of the page before; empty for the first page
   */
  public static String listPath(String lastName) {
    return "/hosts?" + (lastName.isEmpty() ? "" : "since=" + lastName + "&") + "limit=" + PAGE_SIZE;
  }

  /** A page of the machine list; empty if the body is none. */
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
   * A request for machines.
   *
   * @param requestName the same name is never carried out twice, so the request can be repeated
   * @param count at most {@link #MAX_PROVISIONED_PER_REQUEST}
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

  /** The names of the machines that were provisioned. */
  public static List<String> parseProvisioned(JsonNode body) {
    List<String> names = new ArrayList<>();
    body.path("hives").forEach(name -> names.add(name.asText()));
    return names;
  }

  /** Whether the cloud has no machine of the requested kind at present. */
  public static boolean isNoCapacity(int status, JsonNode body) {
    return status == STATUS_UNAVAILABLE && body.path("error").asText().equals("no capacity");
  }

  /** Whether the request is wrong, so that it fails each time that it is sent. */
  public static boolean isBadRequest(int status) {
    return status == STATUS_BAD_REQUEST;
  }

  /**
   * A request to delete machines.
   *
   * @param names at most {@link #MAX_DELETED_PER_REQUEST}
   */
  public static JsonNode deleteRequest(List<String> names) {
    ObjectNode body = MessagePack.map();
    ArrayNode nameList = body.putArray("hives");
    names.forEach(nameList::add);
    return body;
  }
}
