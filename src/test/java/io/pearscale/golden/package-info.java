/** Files that hold what must not change: messages, stored values and settings. */
package io.pearscale.golden;
