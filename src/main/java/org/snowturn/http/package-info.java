/** HTTP server for users, workers, the load balancer and operators. */
package org.snowturn.http;
