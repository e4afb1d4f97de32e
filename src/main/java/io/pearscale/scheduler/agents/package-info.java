/** What is said to and heard from agents: heartbeats, commands, failure detection, retirement. */
package io.pearscale.scheduler.agents;
