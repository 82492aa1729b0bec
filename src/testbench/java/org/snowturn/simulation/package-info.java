/**
 * A simulated cluster around real controllers, in simulated time or over loopback, and the checker
 * of its invariants.
 */
package org.snowturn.simulation;
