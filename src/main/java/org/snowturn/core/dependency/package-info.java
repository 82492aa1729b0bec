/** Which live jobs wait for which others. */
package org.snowturn.core.dependency;
