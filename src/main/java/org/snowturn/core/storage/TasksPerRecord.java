package org.snowturn.core.storage;

/**
 * How many tasks share a record.
 *
 * @param firstFormat in the first format
 * @param secondFormat at most in the second format
 */
public record TasksPerRecord(int firstFormat, int secondFormat) {}
