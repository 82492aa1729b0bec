/** Scheduling decisions: order of jobs, placement, preemption and speculative execution. */
package org.snowturn.core.scheduling;
