package org.snowturn.core.records;

/** How many tasks share a record: in the first format, and at most in the second. */
public record Spans(int first, int second) {}
