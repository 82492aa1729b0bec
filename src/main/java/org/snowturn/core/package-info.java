/**
 * The controller as a state machine: inputs with their time go in, effects come out. No I/O, no
 * clock, no threads.
 */
package org.snowturn.core;
