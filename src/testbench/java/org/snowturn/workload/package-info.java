/** Copies of deployment files in other sizes, generated days, and reports of played days. */
package org.snowturn.workload;
