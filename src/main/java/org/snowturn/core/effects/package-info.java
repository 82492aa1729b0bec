/** The core's effects, the handling of replies to its calls, its timers and its structured log. */
package org.snowturn.core.effects;
