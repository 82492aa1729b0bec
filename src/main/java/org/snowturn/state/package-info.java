/** Client of the state service, a consensus-backed key-value store. */
package org.snowturn.state;
