/** Effects of the core, the replies to its calls, its timers and its structured log. */
package org.snowturn.core.effects;
