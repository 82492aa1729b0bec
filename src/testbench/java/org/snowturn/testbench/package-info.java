/** Commands for scale runs, soak runs, behavior digests and capacity tables. */
package org.snowturn.testbench;
