/** Client of the cloud API, which rents out machines. */
package org.snowturn.cloud;
