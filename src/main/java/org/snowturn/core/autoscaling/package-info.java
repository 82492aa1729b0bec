/** Scaling of the fleet of rented machines with demand, within the cloud's request rate. */
package org.snowturn.core.autoscaling;
