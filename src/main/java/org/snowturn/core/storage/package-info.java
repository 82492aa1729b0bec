/**
 * Records in the state service: their keys and formats, reads of key ranges, and conditional writes
 * that are grouped into transactions.
 */
package org.snowturn.core.storage;
