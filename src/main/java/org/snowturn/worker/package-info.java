/** Client for direct commands to workers. */
package org.snowturn.worker;
