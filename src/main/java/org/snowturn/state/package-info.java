/** Client of the consensus-backed key-value store. */
package org.snowturn.state;
