/** The platform's settings (TOML) and the operators' tunables (XML), read and checked. */
package org.snowturn.config;
