/** Commands of the toolbox, the daemon's start, and the settings that both read. */
package io.pearscale.cli;
