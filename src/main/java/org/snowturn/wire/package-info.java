/**
 * The formats of every protocol, mapped to the terms of the field; the only place that knows the
 * protocols' own field names.
 */
package org.snowturn.wire;
