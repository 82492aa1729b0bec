/**
 * Evidence about machines and attempts: whether an attempt has ended, whether a machine receives
 * messages, and whether a job or a machine is at fault for a failed task.
 */
package org.snowturn.core.health;
