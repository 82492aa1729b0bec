/** Reads and validates the platform's settings (TOML) and the operators' tunables (XML). */
package org.snowturn.config;
