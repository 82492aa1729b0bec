package org.snowturn.core.storage;

/** How many tasks share a record: in the first format, and at most in the second. */
public record RecordSizes(int first, int second) {}
