/** Leader election: the lease, peers' promises, and how far cancellations are known. */
package org.snowturn.core.election;
