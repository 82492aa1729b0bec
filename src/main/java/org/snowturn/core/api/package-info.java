/** Users' requests: submissions, status queries and cancellations. */
package org.snowturn.core.api;
