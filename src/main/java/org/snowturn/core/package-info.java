/**
 * The controller as a state machine: it takes inputs together with the current time and returns the
 * effects to perform. It does no I/O, reads no clock and starts no threads.
 */
package org.snowturn.core;
