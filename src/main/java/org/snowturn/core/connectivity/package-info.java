/** Which controller reaches what: state service, workers, peers. */
package org.snowturn.core.connectivity;
