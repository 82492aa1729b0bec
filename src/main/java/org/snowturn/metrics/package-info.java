/** Counters, gauges and latency histograms of the process. */
package org.snowturn.metrics;
