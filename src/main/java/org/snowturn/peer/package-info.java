/** Messages between controllers: codec and connections. */
package org.snowturn.peer;
