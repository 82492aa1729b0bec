/** Users' requests: submissions, status queries, cancellations. */
package org.snowturn.core.api;
