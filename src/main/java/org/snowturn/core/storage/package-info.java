/** Stored records: keys, formats, reading ranges, grouped and guarded writes. */
package org.snowturn.core.storage;
