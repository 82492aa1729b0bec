package org.snowturn.core.storage;

/**
 * How many tasks share a record.
 *
 * @param first in the first format
 * @param second at most in the second format
 */
public record RecordSizes(int first, int second) {}
