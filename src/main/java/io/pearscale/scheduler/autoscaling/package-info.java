/** Scale out and in: demand, headroom, the cloud. */
package io.pearscale.scheduler.autoscaling;
