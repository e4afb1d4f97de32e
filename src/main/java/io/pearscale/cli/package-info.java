/**
 * The command line of the program: the start of a controller, the commands for operators, which
 * read and write the key-value store, and the readers of the settings files. The controller itself
 * is in {@code io.pearscale.scheduler}.
 */
package io.pearscale.cli;
