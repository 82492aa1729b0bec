/** Process of a controller: command line, I/O threads, and connections between the components. */
package org.snowturn.daemon;
