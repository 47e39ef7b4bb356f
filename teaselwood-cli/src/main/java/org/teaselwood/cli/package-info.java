/** Command-line interface for operators and callers. */
package org.teaselwood.cli;
