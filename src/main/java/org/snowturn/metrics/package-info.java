/** Meters of the process. */
package org.snowturn.metrics;
