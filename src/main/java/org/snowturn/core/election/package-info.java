/**
 * Leader election by a lease in the state service, the promises of peers that replace the lease
 * during an outage of the state service, and the watermark of known cancellations.
 */
package org.snowturn.core.election;
