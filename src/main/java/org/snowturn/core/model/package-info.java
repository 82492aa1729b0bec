/** The leader's view of the cluster: jobs, machines, machine types and quotas. */
package org.snowturn.core.model;
