/**
 * A simulated cluster around real controllers, and the checker of its invariants. The controllers
 * run in simulated time within the process, or as processes of their own that are reached over
 * loopback.
 */
package org.snowturn.simulation;
