/** Deployment files: copies in other sizes, generated days, and reports of played days. */
package org.snowturn.workload;
