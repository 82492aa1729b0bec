/** HTTP client with persistent connections, which turns responses into inputs of the core. */
package org.snowturn.net;
