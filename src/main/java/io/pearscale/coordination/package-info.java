/** Who leads, and how reports of workers reach the leader and its answers come back. */
package io.pearscale.coordination;
