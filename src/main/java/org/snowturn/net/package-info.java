/** Calls over persistent HTTP connections. */
package org.snowturn.net;
