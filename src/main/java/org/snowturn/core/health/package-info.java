/**
 * Evidence about machines and attempts: what proves an end, who receives messages, whose failure it
 * is.
 */
package org.snowturn.core.health;
