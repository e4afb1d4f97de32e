/**
 * The life cycle of gang jobs, whose tasks run either all at the same time or not at all. From the
 * known stages of an attempt's members, these classes decide when the attempt may start, when its
 * missing tasks are started, and when it must end. They are free of I/O; the scheduler places the
 * tasks and sends the commands.
 */
package io.pearscale.gang;
