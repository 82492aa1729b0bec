/** Commands on their way to machines. */
package org.snowturn.core.dispatch;
