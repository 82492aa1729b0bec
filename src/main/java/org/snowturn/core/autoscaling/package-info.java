/** Scales the fleet of rented machines out and in with demand, within the cloud's request rate. */
package org.snowturn.core.autoscaling;
