/**
 * Division of limited rates and capacity: requests to the state service, admission of submissions,
 * minimum shares of placements and quota guarantees.
 */
package org.snowturn.core.admission;
