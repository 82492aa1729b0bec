/**
 * Parts of failover that do no input or output: phases of a term, pacing of probes, reconciliation
 * of records with reports, and retry delays.
 */
package org.snowturn.core.recovery;
