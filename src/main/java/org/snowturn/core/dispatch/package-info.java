/** Delivery of commands to machines. */
package org.snowturn.core.dispatch;
