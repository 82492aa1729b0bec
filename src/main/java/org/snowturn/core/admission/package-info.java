/**
 * Rates and shares: requests to the state service, admission of submissions, minimum shares and
 * quota guarantees.
 */
package org.snowturn.core.admission;
