/** Checked INI settings. */
package org.teaselwood.settings;
