package org.snowturn.core.storage;

/**
 * The number of tasks that share a stored record.
 *
 * @param firstFormat number of tasks per record in the first format
 * @param secondFormat maximum number of tasks per record in the second format
 */
public record TasksPerRecord(int firstFormat, int secondFormat) {}
