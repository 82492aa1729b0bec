package org.snowturn.core.model;

/** Whether a machine exists, from the point of view of the leader. */
enum Presence {
  /** The machine exists. */
  PRESENT,
  /** Neither heartbeats nor the list of the cloud show the machine; it may appear again. */
  PRESUMED_GONE,
  /** The cloud has confirmed that the machine is deleted. */
  TERMINATED
}
