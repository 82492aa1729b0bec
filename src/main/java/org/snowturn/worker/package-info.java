/** HTTP client for commands that this node sends directly to workers. */
package org.snowturn.worker;
