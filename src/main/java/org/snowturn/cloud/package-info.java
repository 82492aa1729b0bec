/** Client of the cloud that rents machines. */
package org.snowturn.cloud;
