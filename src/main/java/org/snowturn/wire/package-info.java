/**
 * Message formats of the protocols of users, workers, the cloud and the state service. This package
 * maps the protocols' own field names, which no other package uses, to the usual terms of the
 * field.
 */
package org.snowturn.wire;
