/** What a leader knows: jobs, machines, machine types, quota. */
package org.snowturn.core.model;
