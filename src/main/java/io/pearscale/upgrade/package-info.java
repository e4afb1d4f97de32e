/**
 * Which form of the stored state is in force, and whether this build may take part under it. While
 * controllers are replaced one at a time, builds of several releases run side by side: what one
 * writes, all others must be able to read, or else stay out.
 */
package io.pearscale.upgrade;
