/** Dependencies between live jobs: release, cancellation and inherited priorities. */
package org.snowturn.core.dependency;
