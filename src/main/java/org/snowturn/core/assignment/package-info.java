/**
 * Assignment of tasks to machines, from the durable placement of an attempt to the proof of its
 * end, with the registries of jobs and machines and the processing of heartbeats.
 */
package org.snowturn.core.assignment;
