/** The process: command line, wiring, I/O threads. */
package org.snowturn.daemon;
