/**
 * A deterministic simulation of a deployment and the tests that run in it. It simulates the clock,
 * the network, the state service, the cloud provider, agents and users, and runs the production
 * code of the controllers against them. Scenarios and leader scripts are text files under {@code
 * src/test/resources}. Tests of single classes stay in the packages of those classes.
 */
package io.pearscale.sim;
