/** One term of leadership, composed of the parts that know and decide. */
package org.snowturn.core.leader;
