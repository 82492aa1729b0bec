/** Pure parts of failover: phases of a term, paced probes, reconciliation, back-off. */
package org.snowturn.core.recovery;
