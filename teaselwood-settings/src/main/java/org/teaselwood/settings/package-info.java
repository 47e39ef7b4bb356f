/** Parsing and validation of INI settings. */
package org.teaselwood.settings;
