/**
 * Tracks which controllers reach the state service, workers and each other, and relays requests
 * around a broken link.
 */
package org.snowturn.core.connectivity;
