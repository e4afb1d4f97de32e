package io.pearscale.protocol;

/**
 * An entry of the cloud's machine list, which lags a few seconds behind the actual state.
 *
 * @param address the address at which the machine's agent accepts commands; empty while unknown
 * @param type the name of the machine type
 * @param spot whether the cloud may preempt the machine after a short notice
 * @param stopped whether the cloud reports that the machine stopped without a request
 */
public record ListedMachine(
    String name, String address, String type, String zone, boolean spot, boolean stopped) {}
