/** Decisions: placement, preemption, speculative restarts, scaling. */
package org.snowturn.core.scheduling;
