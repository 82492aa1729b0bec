/** Which task is assigned to which machine, from the durable placement to the proof of its end. */
package org.snowturn.core.assignment;
