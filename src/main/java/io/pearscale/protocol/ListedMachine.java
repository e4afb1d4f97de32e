package io.pearscale.protocol;

/**
 * A line of the cloud's machine list, which is some seconds old.
 *
 * @param address where the machine's agent takes commands; empty while that is not known
 * @param type the name of its machine type
 * @param spot whether the cloud may take it back after a short notice
 * @param stopped whether the cloud says that the machine has stopped by itself
 */
public record ListedMachine(
    String name, String address, String type, String zone, boolean spot, boolean stopped) {}
