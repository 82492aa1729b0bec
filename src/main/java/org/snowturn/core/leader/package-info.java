/** One term of leadership: recovery, heartbeats, health checks, and the services it composes. */
package org.snowturn.core.leader;
