/** Codec and connections for messages between controllers. */
package org.snowturn.peer;
